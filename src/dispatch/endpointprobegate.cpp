#include "dispatch/endpointprobegate.h"

#include <algorithm>

namespace Lentillock
{

EndpointProbeGate::EndpointProbeGate(const DispatcherSettings &settings)
    : controlTimeout_(settings.controlTimeout)
    , maxViewAge_(settings.maxViewAge)
    , maxStateAge_(settings.maxEndpointStateAge)
    , probeTimeout_(settings.probeTimeout)
{
}

void EndpointProbeGate::recordControlContact(TimePoint at)
{
    const TimePoint previous = lastControlContact_.value_or(at);
    lastControlContact_ = std::max(previous, at);
    if (at > previous) {
        // The view reports endpoint states again, so the results of earlier probes are obsolete.
        std::erase_if(probes_, [this](const auto &item) { return !item.second.sentAt || *item.second.sentAt + probeTimeout_ < *lastControlContact_; });
    }
}

bool EndpointProbeGate::isProbingRequired(TimePoint now) const
{
    return !lastControlContact_ || now - *lastControlContact_ > controlTimeout_;
}

bool EndpointProbeGate::isViewExpired(TimePoint now) const
{
    return !lastControlContact_ || now - *lastControlContact_ > maxViewAge_;
}

EndpointProbeGate::Readiness EndpointProbeGate::readiness(TimePoint now, const EndpointId &endpoint, const EndpointState *state) const
{
    const auto found = probes_.find(endpoint);
    const bool observedByControl = state != nullptr && isRecent(now, state->observedAt);
    if (found == probes_.end()) {
        return observedByControl ? Readiness::Ready : Readiness::NeedsProbe;
    }
    const Probe &probe = found->second;
    if (probe.failedAt && isRecent(now, *probe.failedAt)) {
        return Readiness::Unreachable;
    }
    if (observedByControl || (probe.state && isRecent(now, probe.state->observedAt))) {
        return Readiness::Ready;
    }
    if (!probe.sentAt) {
        return Readiness::NeedsProbe;
    }
    if (now - *probe.sentAt <= probeTimeout_) {
        return Readiness::Probing;
    }
    // The probe got no result. The endpoint is probed again after maxStateAge_.
    return now - *probe.sentAt <= probeTimeout_ + maxStateAge_ ? Readiness::Unreachable : Readiness::NeedsProbe;
}

void EndpointProbeGate::probeSent(TimePoint now, const EndpointId &endpoint)
{
    probes_[endpoint].sentAt = now;
}

void EndpointProbeGate::probeAnswered(TimePoint now, const EndpointProbed &answer)
{
    const auto found = probes_.find(answer.endpoint);
    if (found == probes_.end()) {
        return;
    }
    Probe &probe = found->second;
    probe.sentAt.reset();
    if (!answer.load) {
        probe.failedAt = now;
        return;
    }
    probe.failedAt.reset();
    const EndpointHealth health = answer.load->draining ? EndpointHealth::Leaving : EndpointHealth::Live;
    probe.state = EndpointState{answer.endpoint, health, answer.load, now};
}

const EndpointState *EndpointProbeGate::probedState(const EndpointId &endpoint) const
{
    const auto found = probes_.find(endpoint);
    return found == probes_.end() || !found->second.state ? nullptr : &*found->second.state;
}

bool EndpointProbeGate::isRecent(TimePoint now, TimePoint observed) const
{
    return now - observed <= maxStateAge_;
}

}
