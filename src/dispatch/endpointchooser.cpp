#include "dispatch/endpointchooser.h"

#include <algorithm>
#include <utility>

namespace Lentillock
{

namespace
{

std::uint64_t requiredTokens(const RequestSpec &spec)
{
    return spec.promptTokens + spec.maxTokens;
}

bool hasCapacityFor(const FleetState::Candidate &candidate, const RequestSpec &spec)
{
    const std::uint64_t capacity = GroupPlanner::capacity(candidate);
    return capacity == 0 || capacity >= requiredTokens(spec);
}

bool serves(const Endpoint &endpoint, const RequestSpec &spec)
{
    if (spec.kind == RequestKind::Service) {
        return endpoint.kind == EndpointKind::Service && spec.path.starts_with(endpoint.pathPrefix);
    }
    return endpoint.kind == EndpointKind::Engine && endpoint.model == spec.model;
}

/// Removes the candidates that match @p unwanted, unless none would remain.
template<typename Predicate>
EndpointChooser::Candidates removeUnlessEmpty(EndpointChooser::Candidates candidates, Predicate unwanted)
{
    if (std::none_of(candidates.begin(), candidates.end(), unwanted)) {
        return candidates;
    }
    EndpointChooser::Candidates remaining;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(remaining), [&](const auto &candidate) { return !unwanted(candidate); });
    return remaining.empty() ? std::move(candidates) : remaining;
}

}

EndpointChooser::EndpointChooser(const DispatcherSettings &settings, std::unique_ptr<RoutingPolicy> policy)
    : maxConcurrentProbes_(settings.maxConcurrentProbes)
    , cooldown_(settings.endpointCooldown)
    , randomState_(settings.seed)
    , policy_(std::move(policy))
    , probeGate_(settings)
    , planner_(settings.zone)
{
}

void EndpointChooser::viewChanged(ServingViewPtr view)
{
    probeGate_.recordControlContact(view->receivedAt);
    leavingEndpoints_.observeView(*view);
    std::erase_if(cooldownUntil_, [&view](const auto &item) { return !view->endpoints.contains(item.first); });
    if (view->document != nullptr && (fleet_.view() == nullptr || fleet_.view()->document != view->document)) {
        policy_->documentChanged(*view->document);
    }
    fleet_.setView(std::move(view));
}

void EndpointChooser::viewConfirmed(TimePoint now)
{
    if (fleet_.view() != nullptr) {
        probeGate_.recordControlContact(now);
    }
}

void EndpointChooser::endpointProbed(TimePoint now, const EndpointProbed &answer)
{
    probeGate_.probeAnswered(now, answer);
    if (answer.load) {
        leavingEndpoints_.observeLoad(answer.endpoint, *answer.load);
    }
}

void EndpointChooser::endpointFailed(TimePoint now, const EndpointId &endpoint)
{
    cooldownUntil_[endpoint] = now + cooldown_;
    policy_->endpointFailed(now, endpoint);
}

void EndpointChooser::endpointLeaving(const EndpointId &endpoint)
{
    const EndpointState *state = probeGate_.probedState(endpoint);
    if (state == nullptr && fleet_.view() != nullptr) {
        const auto found = fleet_.view()->endpoints.find(endpoint);
        state = found == fleet_.view()->endpoints.end() ? nullptr : &found->second;
    }
    leavingEndpoints_.observeRefusal(endpoint, state);
}

bool EndpointChooser::isViewExpired(TimePoint now) const
{
    return probeGate_.isViewExpired(now);
}

EndpointChooser::Placement EndpointChooser::choose(TimePoint now, const PlacementRequest &request, std::vector<DispatchAction> &actions)
{
    const RequestSpec &spec = request.spec;
    Candidates candidates = usableCandidates(spec);
    if (candidates.empty()) {
        return noCandidatesReason(spec);
    }
    const bool isService = spec.kind == RequestKind::Service;
    const bool needsGroup
        = !isService && std::none_of(candidates.begin(), candidates.end(), [&](const auto &candidate) { return hasCapacityFor(candidate, spec); });
    if (!isService && !needsGroup) {
        std::erase_if(candidates, [&](const auto &candidate) { return !hasCapacityFor(candidate, spec); });
    }
    if (probeGate_.isProbingRequired(now)) {
        const std::size_t probes = needsGroup ? candidates.size() : maxConcurrentProbes_;
        candidates = readyCandidates(now, std::move(candidates), probes, actions);
        if (candidates.empty()) {
            return NotPlaced::Wait;
        }
    }
    if (needsGroup) {
        return fitsInZone(spec) ? chooseGroup(now, request, candidates) : NotPlaced::PromptTooLong;
    }
    return chooseOne(now, request, preferredCandidates(now, std::move(candidates), request.failedEndpoints));
}

FleetState &EndpointChooser::fleet()
{
    return fleet_;
}

RoutingPolicy &EndpointChooser::policy()
{
    return *policy_;
}

EndpointChooser::Candidates EndpointChooser::usableCandidates(const RequestSpec &spec) const
{
    Candidates candidates = spec.kind == RequestKind::Service ? fleet_.candidatesForPath(spec.path) : fleet_.candidatesForModel(spec.model);
    std::erase_if(candidates, [this](const auto &candidate) { return leavingEndpoints_.isLeaving(candidate.endpoint->id, candidate.state); });
    return candidates;
}

NotPlaced EndpointChooser::noCandidatesReason(const RequestSpec &spec) const
{
    const ServingViewPtr &view = fleet_.view();
    if (view == nullptr || view->document == nullptr) {
        return NotPlaced::Wait;
    }
    const std::vector<Endpoint> &endpoints = view->document->endpoints;
    const bool served = std::any_of(endpoints.begin(), endpoints.end(), [&spec](const Endpoint &endpoint) { return serves(endpoint, spec); });
    return served ? NotPlaced::Wait : NotPlaced::NoEndpoint;
}

bool EndpointChooser::fitsInZone(const RequestSpec &spec) const
{
    std::map<ZoneId, std::uint64_t> zones;
    for (const Endpoint &endpoint : fleet_.view()->document->endpoints) {
        if (serves(endpoint, spec)) {
            const auto state = fleet_.view()->endpoints.find(endpoint.id);
            zones[endpoint.zone] += GroupPlanner::capacity({&endpoint, state == fleet_.view()->endpoints.end() ? nullptr : &state->second, {}});
        }
    }
    return std::any_of(zones.begin(), zones.end(), [&spec](const auto &zone) { return zone.second >= requiredTokens(spec); });
}

EndpointChooser::Candidates EndpointChooser::readyCandidates(TimePoint now, Candidates candidates, std::size_t probes, std::vector<DispatchAction> &actions)
{
    // Starts at a random candidate, so that entry processes without a control process do not all probe the same endpoints.
    std::rotate(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(nextRandom() % candidates.size()), candidates.end());
    Candidates ready;
    std::size_t probesInProgress = 0;
    for (FleetState::Candidate &candidate : candidates) {
        const EndpointId &id = candidate.endpoint->id;
        EndpointProbeGate::Readiness readiness = probeGate_.readiness(now, id, candidate.state);
        if (readiness == EndpointProbeGate::Readiness::NeedsProbe && probesInProgress < probes) {
            probeGate_.probeSent(now, id);
            actions.emplace_back(ProbeEndpoint{id, candidate.endpoint->address});
            readiness = EndpointProbeGate::Readiness::Probing;
        }
        probesInProgress += readiness == EndpointProbeGate::Readiness::Probing ? 1 : 0;
        if (readiness == EndpointProbeGate::Readiness::Ready) {
            const EndpointState *probed = probeGate_.probedState(id);
            candidate.state = probed != nullptr ? probed : candidate.state;
            ready.push_back(candidate);
        }
    }
    std::erase_if(ready, [this](const auto &candidate) { return leavingEndpoints_.isLeaving(candidate.endpoint->id, candidate.state); });
    return ready;
}

EndpointChooser::Candidates EndpointChooser::preferredCandidates(TimePoint now, Candidates candidates, const std::vector<EndpointId> &failedEndpoints) const
{
    candidates = removeUnlessEmpty(std::move(candidates), [&failedEndpoints](const FleetState::Candidate &candidate) {
        return std::find(failedEndpoints.begin(), failedEndpoints.end(), candidate.endpoint->id) != failedEndpoints.end();
    });
    candidates = removeUnlessEmpty(std::move(candidates), [](const FleetState::Candidate &candidate) {
        return candidate.state != nullptr && candidate.state->health == EndpointHealth::Suspect;
    });
    return removeUnlessEmpty(std::move(candidates), [this, now](const FleetState::Candidate &candidate) {
        const auto cooldown = cooldownUntil_.find(candidate.endpoint->id);
        return cooldown != cooldownUntil_.end() && now < cooldown->second;
    });
}

EndpointChooser::Placement EndpointChooser::chooseOne(TimePoint now, const PlacementRequest &request, const Candidates &candidates)
{
    const RoutingPolicy &policy = request.spec.kind == RequestKind::Service ? servicePolicy_ : *policy_;
    const std::optional<RouteChoice> choice = policy.choose(now, request.route, candidates, nextRandom());
    if (!choice) {
        return NotPlaced::Wait;
    }
    return *choice;
}

EndpointChooser::Placement EndpointChooser::chooseGroup(TimePoint now, const PlacementRequest &request, const Candidates &candidates) const
{
    std::optional<GroupPlan> plan = planner_.plan(request.spec, preferredCandidates(now, candidates, request.failedEndpoints));
    if (!plan) {
        plan = planner_.plan(request.spec, candidates);
    }
    if (!plan) {
        return NotPlaced::Wait;
    }
    return std::move(*plan);
}

std::uint64_t EndpointChooser::nextRandom()
{
    // SplitMix64 is fast and deterministic for a given seed.
    randomState_ += 0x9E3779B97F4A7C15ULL;
    std::uint64_t mixed = randomState_;
    mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31U);
}

}
