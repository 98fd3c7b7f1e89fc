#pragma once

#include "base/identifier.h"
#include "base/time.h"

#include <map>

namespace Lentillock
{

/// What one send of a request told about its endpoint.
enum class SendOutcome {
    Answered, ///< A whole answer with a receipt, or a healthy refusal of the request.
    NoCapacity, ///< The endpoint had no place.
    Replaced, ///< Another endpoint has the address; the one that was meant is gone.
    NotConnected,
    Incomplete, ///< The channel ended before the answer did.
    TimedOut, ///< Nothing arrived in time.
    Failed, ///< The endpoint ran the request and reported a failure.
};

/// Judges endpoints by what passes through. An endpoint that fails is suspended for a time that doubles with each further failure.
class EndpointHealth
{
public:
    void recordOutcome(const EndpointId &endpoint, SendOutcome outcome, TimePoint now);

    /// Whether new work should go elsewhere as long as there is another endpoint.
    [[nodiscard]] bool isSuspended(const EndpointId &endpoint, TimePoint now) const;

    /// Moving share of sends that the endpoint failed after running them, 0 to 1.
    [[nodiscard]] double failureRate(const EndpointId &endpoint) const;

    void forget(const EndpointId &endpoint);

private:
    struct State {
        Duration suspension = Duration::zero();
        TimePoint suspendedUntil{};
        double failureRate = 0;
    };

    std::map<EndpointId, State> states_;
};

}
