#include "scenarios/fakeengine.h"

#include <algorithm>
#include <utility>

namespace Lentillock::Scenarios
{

namespace
{

constexpr Duration NetworkDelay = 2ms;
constexpr Duration TokenInterval = 10ms;
constexpr std::uint64_t PrefillTokensPerMillisecond = 200;
constexpr Duration DelayedGrantLatency = 3s;

Duration prefillTime(std::uint64_t tokens)
{
    return milliseconds(tokens / PrefillTokensPerMillisecond);
}

}

std::string tokenText(const RequestId &request, std::uint64_t index)
{
    return request.value() + "." + std::to_string(index) + " ";
}

FakeEngine::FakeEngine(EventQueue &events, Endpoint endpoint, Post post)
    : events_(events)
    , endpoint_(std::move(endpoint))
    , post_(std::move(post))
{
}

void FakeEngine::execute(const DispatchAction &action)
{
    events_.schedule(NetworkDelay, [this, action] { receive(action); });
}

void FakeEngine::receive(const DispatchAction &action)
{
    if (dead_) {
        refuseConnection(action);
    } else if (frozen_) {
        deferredActions_.push_back(action);
    } else {
        std::visit([this](const auto &message) { process(message); }, action);
    }
}

void FakeEngine::kill()
{
    for (const auto &[attempt, run] : std::exchange(runs_, {})) {
        if (!run.silent && !run.ended) {
            reply(AttemptFailed{attempt, AttemptFailure::Broken, 0, "connection reset"});
        }
    }
    dead_ = true;
    frozen_ = false;
    allocations_.clear();
    deferredActions_.clear();
}

void FakeEngine::restart()
{
    dead_ = false;
    draining = false;
    generation_ += 1;
}

void FakeEngine::freeze()
{
    frozen_ = true;
}

void FakeEngine::thaw()
{
    frozen_ = false;
    for (const DispatchAction &action : std::exchange(deferredActions_, {})) {
        receive(action);
    }
}

void FakeEngine::silenceConnections()
{
    for (auto &[attempt, run] : runs_) {
        run.silent = true;
    }
}

void FakeEngine::forgetRequests()
{
    runs_.clear();
}

bool FakeEngine::isResponsive() const
{
    return !dead_ && !frozen_;
}

bool FakeEngine::isDead() const
{
    return dead_;
}

LoadReport FakeEngine::load() const
{
    LoadReport report;
    report.generation = std::to_string(generation_);
    report.draining = draining;
    report.models = {endpoint_.model};
    report.totalTokens = static_cast<std::uint64_t>(endpoint_.memoryTokens);
    report.freeTokens = report.totalTokens - std::min(report.totalTokens, usedTokens());
    report.running = runs_.size();
    report.measuredAt = events_.now();
    return report;
}

bool FakeEngine::isMemoryFree() const
{
    return allocations_.empty() && runs_.empty();
}

std::uint64_t FakeEngine::runCount(const RequestId &request) const
{
    const auto found = runCounts_.find(request);
    return found == runCounts_.end() ? 0 : found->second;
}

const std::vector<TimePoint> &FakeEngine::workStartTimes() const
{
    return workStartTimes_;
}

const Endpoint &FakeEngine::endpoint() const
{
    return endpoint_;
}

void FakeEngine::process(const StartAttempt &action)
{
    if (draining || full) {
        reply(AttemptFailed{action.attempt, AttemptFailure::RefusedNotRun, 503, "refused", draining});
        return;
    }
    runCounts_[action.spec->id] += 1;
    workStartTimes_.push_back(events_.now());
    Run run;
    run.spec = action.spec;
    run.firstToken = static_cast<std::uint64_t>(std::count(action.continuation.begin(), action.continuation.end(), ' '));
    run.prefilledAt = events_.now() + prefillTime(action.spec->promptTokens / (action.imports.size() + 1));
    runs_[action.attempt] = run;
    reply(AttemptAccepted{action.attempt, 200, "text/plain"});
    events_.schedule(TokenInterval, [this, attempt = action.attempt] { generate(attempt); });
}

void FakeEngine::process(const ResumeAttempt &action)
{
    const auto run = runs_.find(action.attempt);
    if (run == runs_.end()) {
        reply(AttemptFailed{action.attempt, AttemptFailure::Rejected, 404, "unknown request"});
        return;
    }
    run->second.silent = false;
    run->second.ended = false;
    run->second.sent = action.position;
    sendChunks(action.attempt, run->second);
}

void FakeEngine::process(const CancelAttempt &action)
{
    runs_.erase(action.attempt);
}

void FakeEngine::process(const ProbeAttempt &action)
{
    const auto run = runs_.find(action.attempt);
    if (run == runs_.end() || endpoint_.kind == EndpointKind::Service) {
        reply(AttemptProbed{action.attempt, EngineRequestState::NotKnown, 0});
        return;
    }
    const bool finished = run->second.generated == run->second.spec->maxTokens;
    reply(AttemptProbed{action.attempt, finished ? EngineRequestState::Finished : EngineRequestState::Running, run->second.generated});
}

void FakeEngine::process(const ProbeEndpoint &action)
{
    reply(EndpointProbed{action.endpoint, load()});
}

void FakeEngine::process(const ReserveAllocation &action)
{
    const bool fits = !full && usedTokens() + action.tokens <= static_cast<std::uint64_t>(endpoint_.memoryTokens);
    if (fits) {
        allocations_[action.allocation] = action.tokens;
    }
    reply(AllocationAnswered{action.allocation, fits}, delayGrants ? DelayedGrantLatency : NetworkDelay);
}

void FakeEngine::process(const PrefillPart &action)
{
    workStartTimes_.push_back(events_.now());
    const std::uint64_t tokens = allocations_.contains(action.allocation) ? allocations_.at(action.allocation) : 0;
    events_.schedule(prefillTime(tokens), [this, allocation = action.allocation, generation = generation_] {
        if (isResponsive() && generation == generation_) {
            reply(PrefillAnswered{allocation, allocations_.contains(allocation)});
        }
    });
}

void FakeEngine::process(const ReleaseAllocation &action)
{
    allocations_.erase(action.allocation);
}

void FakeEngine::refuseConnection(const DispatchAction &action)
{
    if (const auto *start = std::get_if<StartAttempt>(&action)) {
        reply(AttemptFailed{start->attempt, AttemptFailure::NotConnected, 0, "connection refused"});
    } else if (const auto *resume = std::get_if<ResumeAttempt>(&action)) {
        reply(AttemptFailed{resume->attempt, AttemptFailure::NotConnected, 0, "connection refused"});
    } else if (const auto *probe = std::get_if<ProbeAttempt>(&action)) {
        reply(AttemptProbed{probe->attempt, EngineRequestState::NoAnswer, 0});
    } else if (const auto *endpoint = std::get_if<ProbeEndpoint>(&action)) {
        reply(EndpointProbed{endpoint->endpoint, std::nullopt});
    } else if (const auto *reserve = std::get_if<ReserveAllocation>(&action)) {
        reply(AllocationAnswered{reserve->allocation, false});
    } else if (const auto *prefill = std::get_if<PrefillPart>(&action)) {
        reply(PrefillAnswered{prefill->allocation, false});
    }
}

void FakeEngine::generate(const AttemptId &attempt)
{
    const auto found = runs_.find(attempt);
    if (found == runs_.end()) {
        return;
    }
    Run &run = found->second;
    if (!frozen_ && events_.now() >= run.prefilledAt) {
        run.generated += run.generated < run.spec->maxTokens ? 1 : 0;
        sendChunks(attempt, run);
    }
    // A finished request can be resumed for another 10 s, but no longer uses memory.
    if (run.generated < run.spec->maxTokens) {
        events_.schedule(TokenInterval, [this, attempt] { generate(attempt); });
    } else {
        events_.schedule(10s, [this, attempt] { runs_.erase(attempt); });
    }
}

void FakeEngine::sendChunks(const AttemptId &attempt, Run &run)
{
    if (run.silent || run.ended) {
        return;
    }
    for (; run.sent < run.generated; ++run.sent) {
        if (!std::exchange(loseNextChunk, false)) {
            sendChunk(attempt, run, run.sent);
        }
    }
    if (run.generated == run.spec->maxTokens) {
        run.ended = true;
        // Delivered after the last chunk, even when chunks are delayed.
        reply(AttemptEnded{attempt, positionAfter(run, run.generated), "stop", run.spec->promptTokens, 0}, swapChunks ? 30ms : NetworkDelay);
    }
}

void FakeEngine::sendChunk(const AttemptId &attempt, const Run &run, std::uint64_t token)
{
    const AttemptChunk chunk = makeChunk(attempt, run, token);
    const bool delayed = swapChunks && token % 2 == 0;
    reply(chunk, delayed ? 15ms : NetworkDelay);
    if (repeatChunks) {
        reply(chunk);
        reply(chunk, 25ms);
    }
    if (foreignChunks) {
        reply(AttemptChunk{AttemptId(attempt.value() + "0"), chunk.position, chunk.length, "foreign"});
    }
}

void FakeEngine::reply(DispatchInput input, Duration delay)
{
    events_.schedule(delay, [this, input = std::move(input)] { post_(input); });
}

AttemptChunk FakeEngine::makeChunk(const AttemptId &attempt, const Run &run, std::uint64_t token) const
{
    const std::string text = tokenText(run.spec->id, run.firstToken + token);
    const bool isService = endpoint_.kind == EndpointKind::Service;
    return {attempt, positionAfter(run, token), isService ? text.size() : 1, text};
}

std::uint64_t FakeEngine::positionAfter(const Run &run, std::uint64_t tokens) const
{
    if (endpoint_.kind != EndpointKind::Service) {
        return tokens;
    }
    std::uint64_t bytes = 0;
    for (std::uint64_t token = 0; token < tokens; ++token) {
        bytes += tokenText(run.spec->id, token).size();
    }
    return bytes;
}

std::uint64_t FakeEngine::usedTokens() const
{
    std::uint64_t used = 0;
    for (const auto &[allocation, tokens] : allocations_) {
        used += tokens;
    }
    for (const auto &[attempt, run] : runs_) {
        const bool holdsMemory = run.generated < run.spec->maxTokens && run.spec->promptTokens <= static_cast<std::uint64_t>(endpoint_.memoryTokens);
        used += holdsMemory ? run.spec->promptTokens + run.spec->maxTokens : 0;
    }
    return used;
}

}
