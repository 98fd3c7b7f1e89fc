#include "membership/endpointtracker.h"

#include <utility>

namespace Lentillock
{

namespace
{

/// Generations remembered as leaving for one endpoint; bounds the memory that rumors of unknown generations can take.
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
        // Not live before the first successful poll: a new entry must not route to an endpoint that nobody has reached.
        Tracked &tracked = kept[endpoint.id];
        tracked.state.id = endpoint.id;
        tracked.state.health = EndpointHealth::Suspect;
        tracked.state.observedAt = now;
        urgent_.insert(endpoint.id);
    }
    endpoints_ = std::move(kept);
    ++revision_;
}

void EndpointTracker::pollSucceeded(TimePoint now, const EndpointId &id, const LoadReport &load)
{
    const auto entry = endpoints_.find(id);
    if (entry == endpoints_.end()) {
        return;
    }
    Tracked &tracked = entry->second;
    tracked.misses = 0;
    tracked.generation = load.generation;
    tracked.state.load = load;
    tracked.state.observedAt = now;
    if (load.draining || tracked.listedLeaving || tracked.leavingUnknown) {
        markLeaving(tracked, load.generation);
    }
    tracked.leavingUnknown = false;
    settle(tracked);
}

void EndpointTracker::pollFailed(TimePoint /*now*/, const EndpointId &id)
{
    const auto entry = endpoints_.find(id);
    if (entry == endpoints_.end()) {
        return;
    }
    Tracked &tracked = entry->second;
    ++tracked.misses;
    if (tracked.misses >= DeadAfterMisses) {
        setHealth(tracked, EndpointHealth::Dead);
    } else if (tracked.state.health == EndpointHealth::Live) {
        setHealth(tracked, EndpointHealth::Suspect);
    }
}

void EndpointTracker::applyVmList(const std::vector<VmListEntry> &vms)
{
    for (const VmListEntry &vm : vms) {
        const auto entry = endpoints_.find(EndpointId(vm.id));
        if (vm.role != VmRole::Endpoint || entry == endpoints_.end()) {
            continue;
        }
        entry->second.listedLeaving = vm.state == VmState::Leaving;
        if (vm.state == VmState::Leaving) {
            markLeaving(entry->second, entry->second.generation);
            settle(entry->second);
        }
    }
}

void EndpointTracker::applyRumor(const EndpointRumor &rumor)
{
    const auto entry = endpoints_.find(rumor.endpoint);
    if (entry == endpoints_.end() || rumor.generation.empty()) {
        return;
    }
    Tracked &tracked = entry->second;
    if (rumor.health == EndpointHealth::Leaving) {
        markLeaving(tracked, rumor.generation);
        settle(tracked);
    } else if (rumor.health != EndpointHealth::Live && rumor.generation == tracked.generation) {
        // The other VM may have lost its own connection only, so a rumor causes a poll and not a verdict.
        urgent_.insert(rumor.endpoint);
    }
}

void EndpointTracker::report(const EndpointId &id, ReportedFault event, const std::string &generation)
{
    const auto entry = endpoints_.find(id);
    if (entry == endpoints_.end() || (!generation.empty() && !entry->second.generation.empty() && generation != entry->second.generation)) {
        return;
    }
    if (event == ReportedFault::Draining) {
        markLeaving(entry->second, generation.empty() ? entry->second.generation : generation);
        settle(entry->second);
    } else {
        doubt(entry->second);
    }
}

void EndpointTracker::doubt(Tracked &tracked)
{
    if (tracked.state.health == EndpointHealth::Live) {
        setHealth(tracked, EndpointHealth::Suspect);
    }
    urgent_.insert(tracked.state.id);
}

void EndpointTracker::markLeaving(Tracked &tracked, const std::string &generation)
{
    if (generation.empty()) {
        tracked.leavingUnknown = true;
        return;
    }
    if (tracked.leaving.size() >= MaxLeavingGenerations && !tracked.leaving.contains(generation)) {
        for (auto old = tracked.leaving.begin(); old != tracked.leaving.end(); ++old) {
            if (*old != tracked.generation) {
                tracked.leaving.erase(old);
                break;
            }
        }
    }
    tracked.leaving.insert(generation);
}

void EndpointTracker::settle(Tracked &tracked)
{
    if (tracked.leavingUnknown || tracked.leaving.contains(tracked.generation)) {
        // A dead endpoint that was leaving stays dead until it answers again.
        if (tracked.state.health != EndpointHealth::Dead || tracked.misses == 0) {
            setHealth(tracked, EndpointHealth::Leaving);
        }
        return;
    }
    if (tracked.misses == 0 && !tracked.generation.empty()) {
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
    const auto entry = endpoints_.find(id);
    return entry == endpoints_.end() ? nullptr : &entry->second.state;
}

std::vector<EndpointId> EndpointTracker::takeUrgentPolls()
{
    const std::set<EndpointId> urgent = std::exchange(urgent_, {});
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
