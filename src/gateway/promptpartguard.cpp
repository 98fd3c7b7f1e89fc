#include "gateway/promptpartguard.h"

#include "base/hash.h"
#include "base/log.h"

#include <string_view>
#include <vector>

namespace Lentillock
{

namespace
{

/// Time for which the list of endpoints, a refused connection or another VM may show that an endpoint has crashed. Entries of endpoints lapse after three
/// missed heartbeats, and endpoints that return are listed within seconds.
constexpr Duration UnconfirmedRunRetention = 10s;

/// The oldest are forgotten first.
constexpr std::size_t MaxUnconfirmedRuns = 256;

std::string_view stageName(CrashedRunStage stage)
{
    return stage == CrashedRunStage::Waiting ? "waiting" : "response-start";
}

std::string wholeMilliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count());
}

std::string_view listenerName(ListenerState state)
{
    switch (state) {
    case ListenerState::Open:
        return "open";
    case ListenerState::Closed:
        return "closed";
    case ListenerState::Unknown:
        break;
    }
    return "unknown";
}

void logChange(const PromptPartBlockChange &change, TimePoint now)
{
    std::string ages;
    std::string endpoints;
    for (const StartCrash &crash : change.crashes) {
        const char *separator = ages.empty() ? "" : ",";
        ages.append(separator).append(wholeMilliseconds(now - crash.at));
        endpoints.append(separator).append(PromptPartId{crash.endpoint}.text());
    }
    const PromptPartBlock &block = change.block;
    Log::write(Log::Level::Warning,
               block.isInForce() ? "prompt-parts-blocked" : "prompt-parts-released",
               {{"kind", block.isForWholePrompt() ? "prompt" : "parts"},
                {"promptParts", promptPartsText(block.parts)},
                {"promptHash", promptHashText(block.promptHash)},
                {"revision", std::to_string(block.revision)},
                {"remainingMs", wholeMilliseconds(std::max(Duration::zero(), block.until - now))},
                {"failedTrials", std::to_string(block.failedTrials)},
                {"crashAgesMs", ages},
                {"crashedEndpointHashes", endpoints}});
}

}

PromptPartGuard::PromptPartGuard(boost::asio::io_context &context, Metrics &metrics, const EndpointConnectionPool &connections, Duration initialBlockTime)
    : metrics_(metrics)
    , connections_(connections)
    , attribution_(initialBlockTime)
    , confirmation_(context)
{
}

void PromptPartGuard::confirmCrash(const LostRun &run, CrashCallback callback)
{
    confirmation_.confirm(run.endpoint.address, [this, run, callback = std::move(callback)](ListenerState listener) {
        const TimePoint now = monotonicNow();
        const EndpointConnectionCounts counts = connections_.counts(run.endpoint, now);
        const bool hasCrashed = listener == ListenerState::Closed || (!run.isEndpointLeaving && counts.areAllLost());
        Log::write(Log::Level::Info,
                   "crash-checked",
                   {{"run", run.id},
                    {"stage", std::string(stageName(run.stage))},
                    {"endpoint", run.endpoint.id.value()},
                    {"listener", std::string(listenerName(listener))},
                    {"openConnections", std::to_string(counts.open)},
                    {"lostConnections", std::to_string(counts.lost)},
                    {"hasCrashed", hasCrashed ? "yes" : "no"}});
        metrics_.increment("lentillock_start_failures_total", {{"cause", hasCrashed ? "crash" : "other"}});
        if (hasCrashed) {
            recordCrash(run, now);
        } else if (!run.isEndpointLeaving) {
            unconfirmedRuns_.push_back(run);
            if (unconfirmedRuns_.size() > MaxUnconfirmedRuns) {
                unconfirmedRuns_.pop_front();
            }
        }
        callback(hasCrashed);
        reportChanges(now);
    });
}

void PromptPartGuard::onEndpointGone(const EndpointRecord &endpoint, TimePoint now)
{
    recordUnconfirmed([&endpoint](const LostRun &run) { return run.endpoint.isSameIncarnation(endpoint); }, "gone", now);
}

void PromptPartGuard::onEndpointsChanged(const EndpointDirectory &directory, TimePoint now)
{
    const auto isEnded = [&directory](const LostRun &run) {
        const EndpointRecord *record = directory.find(run.endpoint.id);
        return record == nullptr || !record->isSameIncarnation(run.endpoint);
    };
    recordUnconfirmed(isEnded, "list", now);
}

void PromptPartGuard::recordUnconfirmed(const std::function<bool(const LostRun &)> &isEnded, std::string_view evidence, TimePoint now)
{
    bool hasRecorded = false;
    std::erase_if(unconfirmedRuns_, [&](const LostRun &run) {
        if (!isEnded(run)) {
            return false;
        }
        Log::write(Log::Level::Info,
                   "crash-inferred",
                   {{"run", run.id},
                    {"stage", std::string(stageName(run.stage))},
                    {"endpoint", run.endpoint.id.value()},
                    {"evidence", std::string(evidence)},
                    {"ageMs", wholeMilliseconds(now - run.at)}});
        metrics_.increment("lentillock_start_failures_total", {{"cause", "inferred-crash"}});
        recordCrash(run, now);
        hasRecorded = true;
        return true;
    });
    if (hasRecorded) {
        reportChanges(now);
    }
}

void PromptPartGuard::recordCrash(const LostRun &run, TimePoint now)
{
    attribution_.recordCrash({.run = stableHash(run.id),
                              .endpoint = stableHash(run.endpoint.id.value()),
                              .at = run.at,
                              .parts = run.prompt.parts,
                              .promptHash = run.prompt.hash,
                              .stage = run.stage},
                             now);
}

void PromptPartGuard::recordStart(const PromptIdentity &prompt, TimePoint now)
{
    attribution_.recordStart(prompt, now);
    reportChanges(now);
}

PromptPartGuard::Subscription PromptPartGuard::subscribe(std::function<void()> callback)
{
    subscribers_.emplace(nextSubscription_, std::move(callback));
    return nextSubscription_++;
}

void PromptPartGuard::unsubscribe(Subscription subscription)
{
    subscribers_.erase(subscription);
}

void PromptPartGuard::reportChanges(TimePoint now)
{
    bool isBlocked = false;
    for (const PromptPartBlockChange &change : attribution_.takeChanges()) {
        logChange(change, now);
        metrics_.increment("lentillock_prompt_part_blocks_total",
                           {{"change", change.block.isInForce() ? "blocked" : "released"}, {"kind", change.block.isForWholePrompt() ? "prompt" : "parts"}});
        isBlocked = isBlocked || change.block.isInForce();
    }
    if (!isBlocked) {
        return;
    }
    // Subscribers may unsubscribe while they are called.
    std::vector<std::function<void()>> callbacks;
    for (const auto &[subscription, callback] : subscribers_) {
        callbacks.push_back(callback);
    }
    for (const auto &callback : callbacks) {
        callback();
    }
}

void PromptPartGuard::expire(TimePoint now)
{
    std::erase_if(unconfirmedRuns_, [now](const LostRun &run) { return now - run.at > UnconfirmedRunRetention; });
    recordUnconfirmed([this](const LostRun &run) { return attribution_.hasCrashOf(stableHash(run.endpoint.id.value()), run.at); }, "fleet", now);
    attribution_.expire(now);
    reportChanges(now);
    std::size_t inForce = 0;
    for (const PromptPartBlock &block : attribution_.blocks()) {
        inForce += block.isInForce() ? 1 : 0;
    }
    metrics_.setGauge("lentillock_prompt_part_blocks", static_cast<double>(inForce));
    metrics_.setGauge("lentillock_start_crashes_remembered", static_cast<double>(attribution_.crashCount()));
}

CrashAttribution &PromptPartGuard::attribution()
{
    return attribution_;
}

const CrashAttribution &PromptPartGuard::attribution() const
{
    return attribution_;
}

}
