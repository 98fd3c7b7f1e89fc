#include "gateway/promptpartguard.h"

#include "base/hash.h"
#include "base/log.h"

#include <string_view>
#include <vector>

namespace Lentillock
{

namespace
{

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

void PromptPartGuard::confirmCrash(
    const EndpointRecord &endpoint, const std::string &runId, const PromptIdentity &prompt, CrashedRunStage stage, TimePoint at, CrashCallback callback)
{
    const StartCrash crash{
        .run = stableHash(runId), .endpoint = stableHash(endpoint.id.value()), .at = at, .parts = prompt.parts, .promptHash = prompt.hash, .stage = stage};
    confirmation_.confirm(endpoint.address, [this, endpoint, runId, crash, callback = std::move(callback)](ListenerState listener) {
        const bool hasCrashed = listener == ListenerState::Closed;
        const EndpointConnectionCounts counts = connections_.counts(endpoint, monotonicNow());
        Log::write(Log::Level::Info,
                   "crash-checked",
                   {{"run", runId},
                    {"stage", crash.stage == CrashedRunStage::Waiting ? "waiting" : "response-start"},
                    {"endpoint", endpoint.id.value()},
                    {"listener", std::string(listenerName(listener))},
                    {"openConnections", std::to_string(counts.open)},
                    {"lostConnections", std::to_string(counts.lost)},
                    {"hasCrashed", hasCrashed ? "yes" : "no"}});
        metrics_.increment("lentillock_start_failures_total", {{"cause", hasCrashed ? "crash" : "other"}});
        if (hasCrashed) {
            attribution_.recordCrash(crash, monotonicNow());
        }
        callback(hasCrashed);
        reportChanges(monotonicNow());
    });
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
