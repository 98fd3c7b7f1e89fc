#pragma once

#include "base/identifier.h"
#include "base/time.h"

#include <map>
#include <optional>

namespace Lentillock
{

/// Outcome of one attempt to have an endpoint serve a request.
enum class AttemptOutcome {
    Completed, ///< The response is complete and has a server stamp. It may be an error response below status 500.
    NotRun, ///< The endpoint rejected the request without running it, usually because it had no free slot.
    Replaced, ///< Another endpoint now has the address; the addressed endpoint no longer exists.
    NotConnected,
    Incomplete, ///< The connection was lost before the response was complete, or the response has no server stamp.
    TimedOut, ///< No data arrived in time.
    Failed, ///< The endpoint ran the request and reported a failure.
};

/// Tracks the health of endpoints by the outcomes of requests (passive health checks). An endpoint that cannot be reached is suspended for a
/// time that doubles with each further failure.
class EndpointHealth
{
public:
    void recordOutcome(const EndpointId &endpoint, AttemptOutcome outcome, TimePoint now);

    /// Records that @p endpoint has rejected a request and wants no others for @p time. The end is moved by up to @p spread, because all VMs that
    /// have been told the same end would return at once.
    void recordClosed(const EndpointId &endpoint, Duration time, Duration spread, TimePoint now);

    /// The time at which @p endpoint accepts requests again, or std::nullopt if it does.
    [[nodiscard]] std::optional<TimePoint> closedUntil(const EndpointId &endpoint, TimePoint now) const;

    /// Whether the endpoint was closed and has not completed a request since. It gets one request at a time.
    [[nodiscard]] bool isReopening(const EndpointId &endpoint, TimePoint now) const;

    /// Whether new requests should use other endpoints if there are any.
    [[nodiscard]] bool isSuspended(const EndpointId &endpoint, TimePoint now) const;

    /// Exponential moving average of the fraction of attempts that ended with AttemptOutcome::Failed, from 0 to 1.
    [[nodiscard]] double failureRate(const EndpointId &endpoint) const;

    /// Discards the state of an endpoint that was restarted or removed.
    void forget(const EndpointId &endpoint);

private:
    struct State {
        Duration suspension = Duration::zero();
        TimePoint suspendedUntil{};
        double failureRate = 0;
        std::optional<TimePoint> closedUntil; ///< Kept until a request has been completed.
    };

    std::map<EndpointId, State> states_;
};

}
