#pragma once

#include "base/identifier.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>

namespace Lentillock
{

/// Identity and limits of the dispatcher of one entry process.
struct DispatcherSettings {
    VmId vm;
    std::uint64_t incarnation = 0; ///< Increases with each start of the VM's entry process.
    ZoneId zone;
    std::uint64_t seed = 1; ///< Random seed for choosing among equally good endpoints.

    std::size_t maxQueueLength = 2000; ///< Maximum number of requests that wait for an endpoint.
    std::size_t maxQueueForImmediatePlacement = 64; ///< An arrival triggers a placement pass over the queue only up to this queue length.
    std::size_t maxFinishedTraces = 500; ///< Number of finished requests whose trace is kept for explain().
    std::size_t maxTraceEvents = 40; ///< Maximum number of trace events per request.

    Duration stallTimeout = 1s; ///< An attempt whose stream makes no progress for this long is probed.
    Duration probeTimeout = 1s; ///< An attempt is abandoned if its probe is not answered within this time.
    std::uint64_t maxResumesWithoutProgress = 3; ///< An attempt is abandoned after this many resumptions without progress.

    Duration controlTimeout = 2s; ///< If no control process confirmed the view for this long, endpoints are probed before they get new work.
    Duration maxEndpointStateAge = 2s; ///< Without a reachable control process, an endpoint whose state is older is probed before it gets new work.
    Duration maxViewAge = 10min; ///< New requests are refused if the view was last confirmed longer ago.
    std::size_t maxConcurrentProbes = 3; ///< Maximum number of concurrent endpoint probes for one request that finds no endpoint with a recent state.
    Duration endpointCooldown = 2s; ///< A failed endpoint is avoided for this long; the view takes up to 1.5 s to reflect the failure.

    Duration retryDelay = 50ms; ///< Delay of a retry after a refusal, so that a refusing endpoint is not sent requests continuously.
    Duration queueRetryInterval = 100ms; ///< Interval between placement passes when nothing has changed.
    Duration retryAfter = 1s; ///< Retry-After of requests that were refused for lack of capacity, unless a better value is known.

    double retryRatio = 0.1; ///< Retry credit per dispatched request.
    double minWorkspaceRetries = 3; ///< Guaranteed retries per retryWindow, even without traffic.
    double minFleetRetries = 10; ///< Guaranteed retries per retryWindow, even without traffic.
    Duration retryWindow = 10s;

    Duration reservationTimeout = 1s; ///< A reservation that is not answered within this time counts as failed.
    Duration groupRetryDelay = 200ms; ///< Delay of the next placement after a refused reservation; load reports are up to 500 ms old.
    Duration allocationGrace = 5s; ///< Abandoned reservations are tracked until this long after the deadline; by then the reclaimer has released them.
};

}
