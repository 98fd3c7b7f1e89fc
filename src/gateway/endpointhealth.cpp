#include "gateway/endpointhealth.h"

#include <algorithm>

namespace Lentillock
{

namespace
{

constexpr Duration InitialSuspension = 500ms;
constexpr Duration MaxSuspension = 4s;

/// An endpoint without a free slot gets no new requests for about one iteration of its engine.
constexpr Duration NotRunSuspension = 60ms;

/// Weight of the newest outcome in the moving average of the failure rate.
constexpr double FailureRateWeight = 0.15;

}

void EndpointHealth::recordOutcome(const EndpointId &endpoint, AttemptOutcome outcome, TimePoint now)
{
    State &state = states_[endpoint];
    const bool failed = outcome == AttemptOutcome::Failed;
    state.failureRate += FailureRateWeight * ((failed ? 1.0 : 0.0) - state.failureRate);
    switch (outcome) {
    case AttemptOutcome::Completed:
    case AttemptOutcome::Failed:
        state.suspension = Duration::zero();
        // A response to a request that was sent before the rejection does not open the endpoint early.
        if (state.closedUntil && now >= *state.closedUntil) {
            state.closedUntil.reset();
        }
        break;
    case AttemptOutcome::NotRun:
        state.suspendedUntil = std::max(state.suspendedUntil, now + NotRunSuspension);
        break;
    case AttemptOutcome::Replaced:
        // The address does not return to the replaced endpoint. forget() lifts the suspension when the endpoint list contains a restart.
        state.suspendedUntil = TimePoint::max();
        break;
    case AttemptOutcome::NotConnected:
    case AttemptOutcome::Incomplete:
    case AttemptOutcome::TimedOut:
        // Failures of requests that were sent before the suspension have the same cause and must not extend it.
        if (now >= state.suspendedUntil) {
            state.suspension = std::clamp(state.suspension * 2, InitialSuspension, MaxSuspension);
            state.suspendedUntil = now + state.suspension;
        }
        break;
    }
}

void EndpointHealth::recordClosed(const EndpointId &endpoint, Duration time, Duration spread, TimePoint now)
{
    std::optional<TimePoint> &until = states_[endpoint].closedUntil;
    const TimePoint end = now + time + spread;
    until = until ? std::max(*until, end) : end;
}

std::optional<TimePoint> EndpointHealth::closedUntil(const EndpointId &endpoint, TimePoint now) const
{
    const auto state = states_.find(endpoint);
    return state != states_.end() && state->second.closedUntil && now < *state->second.closedUntil ? state->second.closedUntil : std::nullopt;
}

bool EndpointHealth::isReopening(const EndpointId &endpoint, TimePoint now) const
{
    const auto state = states_.find(endpoint);
    return state != states_.end() && state->second.closedUntil && now >= *state->second.closedUntil;
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
