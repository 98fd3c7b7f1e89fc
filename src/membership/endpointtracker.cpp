#include "membership/endpointtracker.h"

#include <utility>

namespace Lentillock
{

namespace
{

/// Leaving generations kept for each endpoint. Bounds the memory that rumors with unknown generations can use.
constexpr std::size_t MaxLeavingGenerations = 8;

}

void EndpointTracker::setEndpoints(TimePoint now, const std::vector<Endpoint> &endpoints)
{
    std::map<EndpointId, Tracked> kept;
    for (const Endpoint &endpoint : endpoints) {
        auto node = endpoints_.extract(endpoint.id);
        if (!node.empty()) {
            kept.insert(std::move(node));
            continue;
        }
        // Not live before the first successful poll, so that no entry process routes to an endpoint that has never been reached.
        Tracked &tracked = kept[endpoint.id];
        tracked.state.id = endpoint.id;
        tracked.state.health = EndpointHealth::Suspect;
        tracked.state.observedAt = now;
        urgentPolls_.insert(endpoint.id);
    }
    endpoints_ = std::move(kept);
    ++revision_;
}

void EndpointTracker::pollSucceeded(TimePoint now, const EndpointId &id, const LoadReport &load)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end()) {
        return;
    }
    Tracked &tracked = found->second;
    tracked.consecutiveFailedPolls = 0;
    tracked.generation = load.generation;
    tracked.state.load = load;
    tracked.state.observedAt = now;
    if (load.draining || tracked.leavingInVmList || tracked.leavingUnknownGeneration) {
        markLeaving(tracked, load.generation);
    }
    tracked.leavingUnknownGeneration = false;
    updateHealth(tracked);
}

void EndpointTracker::pollFailed(TimePoint /*now*/, const EndpointId &id)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end()) {
        return;
    }
    Tracked &tracked = found->second;
    ++tracked.consecutiveFailedPolls;
    if (tracked.consecutiveFailedPolls >= DeadAfterFailedPolls) {
        setHealth(tracked, EndpointHealth::Dead);
    } else if (tracked.state.health == EndpointHealth::Live) {
        setHealth(tracked, EndpointHealth::Suspect);
    }
}

void EndpointTracker::applyVmList(const std::vector<VmListEntry> &vms)
{
    for (const VmListEntry &vm : vms) {
        const auto found = endpoints_.find(EndpointId(vm.id));
        if (vm.role != VmRole::Endpoint || found == endpoints_.end()) {
            continue;
        }
        found->second.leavingInVmList = vm.state == VmState::Leaving;
        if (vm.state == VmState::Leaving) {
            markLeaving(found->second, found->second.generation);
            updateHealth(found->second);
        }
    }
}

void EndpointTracker::applyRumor(const EndpointRumor &rumor)
{
    const auto found = endpoints_.find(rumor.endpoint);
    if (found == endpoints_.end() || rumor.generation.empty()) {
        return;
    }
    Tracked &tracked = found->second;
    if (rumor.health == EndpointHealth::Leaving) {
        markLeaving(tracked, rumor.generation);
        updateHealth(tracked);
    } else if (rumor.health != EndpointHealth::Live && rumor.generation == tracked.generation) {
        // The other VM may only have lost its own connection, so the rumor triggers a poll and does not change the health.
        urgentPolls_.insert(rumor.endpoint);
    }
}

void EndpointTracker::report(const EndpointId &id, ReportedFault event, const std::string &generation)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end() || (!generation.empty() && !found->second.generation.empty() && generation != found->second.generation)) {
        return;
    }
    if (event == ReportedFault::Draining) {
        markLeaving(found->second, generation.empty() ? found->second.generation : generation);
        updateHealth(found->second);
    } else {
        markSuspect(found->second);
    }
}

void EndpointTracker::markSuspect(Tracked &tracked)
{
    if (tracked.state.health == EndpointHealth::Live) {
        setHealth(tracked, EndpointHealth::Suspect);
    }
    urgentPolls_.insert(tracked.state.id);
}

void EndpointTracker::markLeaving(Tracked &tracked, const std::string &generation)
{
    if (generation.empty()) {
        tracked.leavingUnknownGeneration = true;
        return;
    }
    if (tracked.leavingGenerations.size() >= MaxLeavingGenerations && !tracked.leavingGenerations.contains(generation)) {
        for (auto old = tracked.leavingGenerations.begin(); old != tracked.leavingGenerations.end(); ++old) {
            if (*old != tracked.generation) {
                tracked.leavingGenerations.erase(old);
                break;
            }
        }
    }
    tracked.leavingGenerations.insert(generation);
}

void EndpointTracker::updateHealth(Tracked &tracked)
{
    if (tracked.leavingUnknownGeneration || tracked.leavingGenerations.contains(tracked.generation)) {
        // A leaving endpoint that has become dead stays dead until a poll succeeds.
        if (tracked.state.health != EndpointHealth::Dead || tracked.consecutiveFailedPolls == 0) {
            setHealth(tracked, EndpointHealth::Leaving);
        }
        return;
    }
    if (tracked.consecutiveFailedPolls == 0 && !tracked.generation.empty()) {
        setHealth(tracked, EndpointHealth::Live);
    }
}

void EndpointTracker::setHealth(Tracked &tracked, EndpointHealth health)
{
    if (tracked.state.health == health) {
        return;
    }
    tracked.state.health = health;
    ++revision_;
    if (health != EndpointHealth::Live) {
        rumors_.push_back({tracked.state.id, tracked.generation, health});
    }
}

std::vector<EndpointState> EndpointTracker::states() const
{
    std::vector<EndpointState> states;
    states.reserve(endpoints_.size());
    for (const auto &[id, tracked] : endpoints_) {
        states.push_back(tracked.state);
    }
    return states;
}

const EndpointState *EndpointTracker::find(const EndpointId &id) const
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : &found->second.state;
}

std::vector<EndpointId> EndpointTracker::takeUrgentPolls()
{
    const std::set<EndpointId> urgent = std::exchange(urgentPolls_, {});
    return {urgent.begin(), urgent.end()};
}

std::vector<EndpointRumor> EndpointTracker::takeRumors()
{
    return std::exchange(rumors_, {});
}

std::uint64_t EndpointTracker::revision() const
{
    return revision_;
}

}
