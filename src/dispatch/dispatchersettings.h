#pragma once

#include "base/identifier.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>

namespace Lentillock
{

/// Identity and limits of one entry's dispatcher.
struct DispatcherSettings {
    VmId vm;
    std::uint64_t incarnation = 0; ///< Rises with each start of the VM's entry process.
    ZoneId zone;
    std::uint64_t seed = 1; ///< Of the choices among equally good endpoints.

    std::size_t maxQueueLength = 2000; ///< Requests that wait for an endpoint.
    std::size_t maxQueueForImmediatePlacement = 64; ///< With a longer queue an arrival does not cause the whole queue to be tried.
    std::size_t maxFinishedTraces = 500; ///< Finished requests whose course is kept for explain().
    std::size_t maxTraceEvents = 40; ///< Events kept for each request.

    Duration stallTimeout = 1s; ///< A stream without progress for this long is probed.
    Duration probeTimeout = 1s; ///< An attempt whose probe is not answered within this time is given up.
    std::uint64_t maxResumesWithoutProgress = 3; ///< An attempt that makes no progress on this many new connections is given up.

    Duration controlTimeout = 2s; ///< With an older view no control process answers, and endpoints are probed before new work.
    Duration maxEndpointStateAge = 2s; ///< Without a control process, an endpoint with an older state is probed before new work.
    Duration maxViewAge = 10min; ///< With an older view new requests are refused.
    std::size_t maxConcurrentProbes = 3; ///< Endpoints probed for one request that finds none in a known state.
    Duration endpointCooldown = 2s; ///< An endpoint that refused a connection is passed over for this long; the view needs up to 1.5 s to show it.

    Duration retryDelay = 50ms; ///< After a refusal, so that a refusing endpoint is not asked continuously.
    Duration queueRetryInterval = 100ms; ///< Between two tries to place waiting requests when nothing has changed.
    Duration retryAfter = 1s; ///< Suggested to callers whose request was refused for lack of capacity.

    double retryRatio = 0.1; ///< Retries per dispatched request.
    double minWorkspaceRetries = 3; ///< Per retryWindow, also without traffic.
    double minFleetRetries = 10; ///< Per retryWindow, also without traffic.
    Duration retryWindow = 10s;

    Duration reservationTimeout = 1s; ///< A reservation that is not answered within this time counts as refused.
    Duration groupRetryDelay = 200ms; ///< After a refused reservation; load reports are up to 500 ms old.
    Duration allocationGrace = 5s; ///< After the deadline the reclaimer releases an allocation, so a late grant need not be remembered.
};

}
