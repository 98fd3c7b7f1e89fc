#include "gateway/endpointhealth.h"

#include <algorithm>

namespace Lentillock
{

namespace
{

constexpr Duration FirstSuspension = 500ms;
constexpr Duration LongestSuspension = 4s;

/// A full endpoint gets no new work for about one pass of its engine.
constexpr Duration FullSuspension = 60ms;

/// Weight of the newest outcome in the moving failure share.
constexpr double FailureWeight = 0.15;

}

void EndpointHealth::recordOutcome(const EndpointId &endpoint, SendOutcome outcome, TimePoint now)
{
    State &state = states_[endpoint];
    const bool failed = outcome == SendOutcome::Failed;
    state.failureRate += FailureWeight * ((failed ? 1.0 : 0.0) - state.failureRate);
    switch (outcome) {
    case SendOutcome::Answered:
    case SendOutcome::Failed:
        state.suspension = Duration::zero();
        break;
    case SendOutcome::NoCapacity:
        state.suspendedUntil = std::max(state.suspendedUntil, now + FullSuspension);
        break;
    case SendOutcome::Replaced:
        // An address that has been given to another endpoint does not come back; forget() lifts this when the list names a new start.
        state.suspendedUntil = TimePoint::max();
        break;
    case SendOutcome::NotConnected:
    case SendOutcome::Incomplete:
    case SendOutcome::TimedOut:
        // Failures of requests that were sent before the suspension began say nothing new.
        if (now >= state.suspendedUntil) {
            state.suspension = std::clamp(state.suspension * 2, FirstSuspension, LongestSuspension);
            state.suspendedUntil = now + state.suspension;
        }
        break;
    }
}

bool EndpointHealth::isSuspended(const EndpointId &endpoint, TimePoint now) const
{
    const auto state = states_.find(endpoint);
    return state != states_.end() && now < state->second.suspendedUntil;
}

double EndpointHealth::failureRate(const EndpointId &endpoint) const
{
    const auto state = states_.find(endpoint);
    return state == states_.end() ? 0 : state->second.failureRate;
}

void EndpointHealth::forget(const EndpointId &endpoint)
{
    states_.erase(endpoint);
}

}
