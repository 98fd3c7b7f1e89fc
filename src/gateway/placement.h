#pragma once

#include "base/time.h"
#include "gateway/endpointdirectory.h"
#include "gateway/fleetload.h"
#include "gateway/servingplan.h"

#include <vector>

namespace Lentillock
{

/// An endpoint that may get a request, with what is known of it.
struct PlacementCandidate {
    const EndpointRecord *endpoint = nullptr;
    EndpointLoad load;
    bool isSuspended = false;
    double failureRate = 0;
    bool isLocal = false; ///< In the availability zone of this VM.
};

/// The request to be placed.
struct PlacementRequest {
    double promptTokens = 0;
    double answerTokens = 0;
    double remainingObjectiveMs = 0; ///< Time to the first event that earns full credit, from now.
    double firstEventObjectiveMs = 0; ///< The same as objectiveMs, as of the arrival of the request.
    double pauseObjectiveMs = 0; ///< Longest pause between events.
    double shortDemand = 0; ///< Short requests that will generate at the same time, of all VMs.
    double timeLeftMs = 0; ///< Until the request is given up.
    std::uint64_t seed = 0; ///< Breaks ties.
    bool loadsIncludePeers = true; ///< Whether the loads include what other VMs have sent.
};

/// Where a request goes. Helpers each read an equal part of the prompt.
struct Placement {
    const EndpointRecord *endpoint = nullptr; ///< Null if there is no candidate.
    std::vector<const EndpointRecord *> helpers{};
    std::uint64_t helperTokens = 0; ///< Memory to be reserved at each helper; 0 for none.
    std::uint64_t endpointTokens = 0; ///< Memory that the prompt takes at the endpoint itself.
    double prefillMs = 0; ///< Reading at each endpoint that takes part.
    double prefillStartMs = 0; ///< Expected time until the last endpoint begins to read its part.
    double maxPrefillStartMs = 0; ///< Beyond it the request is better sent later, so that smaller ones go first.
    double firstEventMs = 0; ///< Expected time to the first event.
    bool isLong = false;
    bool isRefused = false; ///< Serving the request would cost more than it is worth; it may come back after retryAfterMs.
    double retryAfterMs = 0;
    double disturbance = 0; ///< Worth that streams beside it lose, in short requests, as gain and price.
    double expectedValue = 0; ///< What serving a long prompt is expected to earn, less the disturbance.
    double opportunityCost = 0; ///< What its reading takes from the prompts that wait and from those that arrive next.
    double meanPrefillBacklogMs = 0; ///< Reading that waits at an endpoint for long prompts, on average.
    double fleetUtilization = 0; ///< Endpoints that read, with this prompt.
};

/// Places a call to a plain service: the endpoint with the fewest requests in progress, preferably in the same zone.
Placement placeCall(const std::vector<PlacementCandidate> &candidates, std::uint64_t seed);

/// Places a generation so that it, and what the endpoints are working on already, meet their objectives as far as possible.
Placement placeGeneration(const EngineModel &engine, const std::vector<PlacementCandidate> &candidates, const PlacementRequest &request);

}
