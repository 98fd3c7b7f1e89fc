#include "bench/benchentry.h"

#include <algorithm>
#include <utility>

namespace Lentillock
{

BenchEntry::BenchEntry(EventQueue &events,
                       SimulatedFleet &fleet,
                       ZoneId zone,
                       std::unique_ptr<RoutingPolicy> policy,
                       bool refusesOverload,
                       std::uint64_t seed,
                       ResultHandler onResult)
    : events_(events)
    , fleet_(fleet)
    , zone_(std::move(zone))
    , policy_(std::move(policy))
    , random_(seed)
    , onResult_(std::move(onResult))
    , queue_(MaxQueueLength)
    , refusesOverload_(refusesOverload)
{
    state_.setView(fleet_.currentView());
}

void BenchEntry::refreshView()
{
    state_.setView(fleet_.currentView());
    dispatchQueued();
}

void BenchEntry::handleArrival(const BenchRequest &request)
{
    ActiveRequest active;
    active.request = request;
    active.arrival = events_.now();
    active.route.workspace = WorkspaceId("ws-" + std::to_string(request.workspace));
    active.route.promptTokens = request.promptTokens;
    active.route.maxTokens = request.maxTokens;
    active.route.prefixBlocks = request.prefixBlocks;
    active.route.zone = zone_;
    active.route.deadline = active.arrival + request.timeout;
    active.route.arrival = active.arrival;
    active.route.model = ModelId(request.smallModel ? "desk" : "reader");
    policy_->requestArrived(events_.now(), active.route);
    const QueueEntry entry{RequestId(request.id), active.route.workspace, 0, request.promptTokens, active.arrival, active.route.deadline};
    activeRequests_[request.id] = std::move(active);
    const bool isRefused = refusesOverload_ && overload_.retryAfter(events_.now(), entry, queue_).has_value();
    if (isRefused || !queue_.push(entry)) {
        finishRequest(request.id, BenchOutcome::Refused);
        return;
    }
    events_.after(request.timeout, [this, id = request.id] { expireRequest(id); });
    dispatchQueued();
}

void BenchEntry::dispatchQueued()
{
    for (const RequestId &id : queue_.order(events_.now())) {
        const auto found = activeRequests_.find(id.value());
        if (found != activeRequests_.end() && placeOnEngines(id.value(), found->second)) {
            queue_.remove(id);
            overload_.dispatched(events_.now(), found->second.request.promptTokens);
            startAttempt(id.value(), found->second);
        }
    }
}

bool BenchEntry::placeOnEngines(const std::string & /*id*/, ActiveRequest &active)
{
    std::vector<Part> parts = chooseEndpoints(active);
    if (parts.empty() || (parts.size() > 1 && !reserve(parts, active))) {
        return false;
    }
    active.parts = std::move(parts);
    return true;
}

std::vector<BenchEntry::Part> BenchEntry::chooseEndpoints(ActiveRequest &active)
{
    const std::vector<FleetState::Candidate> candidates = state_.candidatesForModel(active.route.model);
    const std::uint64_t count = (active.request.promptTokens + MaxPartTokens - 1) / MaxPartTokens;
    const std::uint64_t tokens = active.request.promptTokens / count;
    RouteRequest route = active.route;
    route.promptTokens = tokens;
    std::vector<Part> parts;
    std::vector<FleetState::Candidate> usable = candidates;
    for (std::uint64_t i = 0; i < count; ++i) {
        const auto choice = policy_->choose(events_.now(), route, usable, random_.bits());
        if (!choice) {
            return {};
        }
        parts.push_back({choice->endpoint, active.request.id + '/' + std::to_string(active.attempts) + '/' + std::to_string(i), tokens});
        usable = unusedCandidatesInZone(candidates, state_.endpoint(choice->endpoint)->zone, parts);
    }
    return parts;
}

std::vector<FleetState::Candidate>
BenchEntry::unusedCandidatesInZone(const std::vector<FleetState::Candidate> &candidates, const ZoneId &zone, const std::vector<Part> &used) const
{
    std::vector<FleetState::Candidate> result;
    for (const FleetState::Candidate &candidate : candidates) {
        const bool taken = std::any_of(used.begin(), used.end(), [&candidate](const Part &part) { return part.endpoint == candidate.endpoint->id; });
        if (candidate.endpoint->zone == zone && !taken) {
            result.push_back(candidate);
        }
    }
    return result;
}

bool BenchEntry::reserve(const std::vector<Part> &parts, const ActiveRequest &active)
{
    for (auto part = parts.begin(); part != parts.end(); ++part) {
        if (!fleet_.allocate(part->endpoint, part->id, part->tokens + active.request.maxTokens)) {
            std::for_each(parts.begin(), part, [this](const Part &earlier) { fleet_.release(earlier.endpoint, earlier.id); });
            return false;
        }
    }
    return true;
}

void BenchEntry::startAttempt(const std::string &id, ActiveRequest &active)
{
    ++active.attempts;
    active.currentPart = 0;
    active.started = events_.now();
    active.prefillTokensAhead = state_.inFlight(active.parts.front().endpoint).prefillTokens;
    for (const Part &part : active.parts) {
        state_.attemptStarted(AttemptId(part.id), part.endpoint, part.tokens, active.request.maxTokens);
        RouteRequest route = active.route;
        route.promptTokens = part.tokens;
        route.prefixBlocks.resize(&part == &active.parts.front() ? std::min<std::size_t>(route.prefixBlocks.size(), part.tokens / PrefixBlockTokens) : 0);
        policy_->attemptStarted(events_.now(), route, part.endpoint);
    }
    events_.after(fleet_.delay(zone_, active.parts.front().endpoint), [this, id, attempt = active.attempts] { submitPart(id, attempt); });
}

void BenchEntry::submitPart(const std::string &id, std::size_t attempt)
{
    const auto found = activeRequests_.find(id);
    if (found == activeRequests_.end() || found->second.attempts != attempt || found->second.parts.empty()) {
        return;
    }
    ActiveRequest &active = found->second;
    const Part &part = active.parts[active.currentPart];
    const bool last = active.currentPart + 1 == active.parts.size();
    EngineRequest request;
    request.id = part.id;
    request.promptTokens = part.tokens;
    request.maxTokens = last ? active.request.maxTokens : 0;
    request.importedTokens = active.currentPart * part.tokens;
    request.allocation = active.parts.size() > 1 ? part.id : "";
    if (active.currentPart == 0) {
        const std::size_t blocks = std::min<std::size_t>(active.request.prefixBlocks.size(), part.tokens / PrefixBlockTokens);
        request.prefixBlocks.assign(active.request.prefixBlocks.begin(), active.request.prefixBlocks.begin() + static_cast<std::ptrdiff_t>(blocks));
    }
    const Duration delay = fleet_.delay(zone_, part.endpoint);
    const auto onEvent
        = [this, id, attempt, delay](const EngineEvent &event) { events_.after(delay, [this, id, attempt, event] { handleEngineEvent(id, attempt, event); }); };
    const bool accepted = fleet_.submit(part.endpoint, request, onEvent, [this, id, attempt] { handleLostAttempt(id, attempt); });
    if (!accepted) {
        events_.after(delay, [this, id, attempt] { handleLostAttempt(id, attempt); });
    }
}

void BenchEntry::handleEngineEvent(const std::string &id, std::size_t attempt, const EngineEvent &event)
{
    const auto found = activeRequests_.find(id);
    if (found == activeRequests_.end() || found->second.attempts != attempt || found->second.parts.empty()) {
        return;
    }
    ActiveRequest &active = found->second;
    const bool last = active.currentPart + 1 == active.parts.size();
    if (event.kind == EngineEvent::Kind::Finished) {
        handlePartFinished(id, active);
        return;
    }
    const Part &part = active.parts[active.currentPart];
    state_.firstTokenArrived(AttemptId(part.id));
    if (active.currentPart == 0) {
        active.cachedTokens = fleet_.cachedTokens(part.endpoint, part.id);
    }
    if (last && !active.firstToken) {
        active.firstToken = events_.now() - active.arrival;
    }
}

void BenchEntry::handlePartFinished(const std::string &id, ActiveRequest &active)
{
    if (active.currentPart + 1 < active.parts.size()) {
        ++active.currentPart;
        submitPart(id, active.attempts);
        return;
    }
    if (active.parts.size() == 1) {
        const TimePoint firstToken = active.arrival + *active.firstToken;
        policy_->attemptFinished(events_.now(),
                                 {active.parts.front().endpoint,
                                  active.request.promptTokens,
                                  active.cachedTokens,
                                  active.request.maxTokens,
                                  active.prefillTokensAhead,
                                  firstToken - active.started,
                                  events_.now() - active.started});
    }
    finishRequest(id, BenchOutcome::Finished);
    dispatchQueued();
}

void BenchEntry::handleLostAttempt(const std::string &id, std::size_t attempt)
{
    const auto found = activeRequests_.find(id);
    if (found == activeRequests_.end() || found->second.attempts != attempt || found->second.parts.empty()) {
        return;
    }
    ActiveRequest &active = found->second;
    const EndpointId failed = active.parts[active.currentPart].endpoint;
    policy_->endpointFailed(events_.now(), failed);
    active.route.excluded.push_back(failed);
    releaseParts(active);
    if (active.attempts >= MaxAttempts) {
        finishRequest(id, BenchOutcome::Failed);
        return;
    }
    queue_.push({RequestId(id), active.route.workspace, 0, active.request.promptTokens, active.arrival, active.route.deadline});
    events_.after(Duration::zero(), [this] { dispatchQueued(); });
}

void BenchEntry::releaseParts(ActiveRequest &active)
{
    for (const Part &part : active.parts) {
        state_.attemptEnded(AttemptId(part.id));
        fleet_.cancel(part.endpoint, part.id);
        if (active.parts.size() > 1) {
            fleet_.release(part.endpoint, part.id);
        }
    }
    active.parts.clear();
}

void BenchEntry::expireRequest(const std::string &id)
{
    if (activeRequests_.contains(id)) {
        queue_.remove(RequestId(id));
        finishRequest(id, BenchOutcome::Late);
    }
}

void BenchEntry::finishRequest(const std::string &id, BenchOutcome outcome)
{
    const auto found = activeRequests_.find(id);
    ActiveRequest &active = found->second;
    releaseParts(active);
    const BenchRequest &request = active.request;
    const BenchResult result{request.id,
                             request.workspace,
                             request.band,
                             request.promptTokens,
                             request.maxTokens,
                             request.smallModel,
                             active.arrival,
                             outcome,
                             active.firstToken,
                             events_.now() - active.arrival};
    activeRequests_.erase(found);
    onResult_(result);
}

}
