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
    std::size_t maxExplanations = 500; ///< Finished requests whose course is kept for explain().

    Duration silenceLimit = 1s; ///< A stream without bytes for this long is probed.
    Duration probeTimeout = 1s; ///< An attempt whose probe is not answered within this time is given up.
    Duration maxEndpointStateAge = 2s; ///< An endpoint with an older state is probed before it gets new work.
    Duration maxViewAge = 10min; ///< With an older view new requests are refused.
    Duration controlSilenceLimit = 2s; ///< A view older than this comes from a control process that does not answer.
    Duration retryDelay = 50ms; ///< Between a refusal and the next try, so that a refusing endpoint is not asked continuously.
    Duration queueRetryInterval = 100ms; ///< Between two tries to place a request that found no endpoint.

    double retryShare = 0.1; ///< Retries per dispatched request.
    std::uint64_t minWorkspaceRetries = 3; ///< Per retryWindow, also without traffic.
    std::uint64_t minFleetRetries = 10; ///< Per retryWindow, also without traffic.
    Duration retryWindow = 10s;
};

}
