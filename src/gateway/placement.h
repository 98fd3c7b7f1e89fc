#pragma once

#include "base/time.h"
#include "gateway/endpointdirectory.h"
#include "gateway/fleetload.h"
#include "gateway/servingplan.h"

#include <vector>

namespace Lentillock
{

/// An endpoint that may receive a request, with its load and health.
struct PlacementCandidate {
    const EndpointRecord *endpoint = nullptr;
    EndpointLoad load;
    bool isSuspended = false;
    double failureRate = 0;
    bool isLocal = false; ///< In the availability zone of this VM.
};

/// The request to place.
struct PlacementRequest {
    double promptTokens = 0;
    double maxOutputTokens = 0;
    double remainingObjectiveMs = 0; ///< Time left until the first event misses its objective.
    double firstEventObjectiveMs = 0; ///< Latency objective of the first event, from the arrival of the request.
    double pauseObjectiveMs = 0; ///< Longest pause between events.
    double shortDemand = 0; ///< Expected number of concurrent short requests of all VMs.
    double timeLeftMs = 0; ///< Until the deadline of the request.
    std::uint64_t seed = 0; ///< Breaks ties.
    bool loadsIncludePeers = true; ///< Whether the loads include the requests of other VMs.
};

/// Where to send a request. If there are helpers, the endpoint and each helper compute an equal part of the prefill.
struct Placement {
    const EndpointRecord *endpoint = nullptr; ///< Null if there is no candidate.
    std::vector<const EndpointRecord *> helpers{};
    std::uint64_t helperTokens = 0; ///< KV cache memory to reserve on each helper; 0 for no reservation.
    std::uint64_t endpointTokens = 0; ///< KV cache memory that the request uses on the endpoint itself.
    double prefillMs = 0; ///< Prefill time on each participating endpoint.
    double prefillStartMs = 0; ///< Expected time until the last participating endpoint starts its prefill.
    double maxPrefillStartMs = 0; ///< If prefillStartMs is larger, the request should be held, so that smaller ones go first.
    double firstEventMs = 0; ///< Expected time to the first event.
    bool isLong = false;
    bool isRejected = false; ///< Serving the request would cost more than its value; the caller may retry after retryAfterMs.
    double retryAfterMs = 0;
    double interferenceCost = 0; ///< Value that other streams on the endpoints lose. This and the next two members are in units of one short request.
    double expectedValue = 0; ///< Expected value of serving a long prompt, less the value that other streams lose.
    double opportunityCost = 0; ///< Value that queued prompts and the next ones to arrive lose because of its prefill.
    double meanPrefillBacklogMs = 0; ///< Mean remaining prefill of the endpoints in the pool for long prompts.
    double endpointUtilization = 0; ///< Fraction of the endpoints that compute a prefill, including that of this prompt.
};

/// Places a call to a service without a model engine on the endpoint with the fewest requests in progress, preferably in the same zone.
Placement placeCall(const std::vector<PlacementCandidate> &candidates, std::uint64_t seed);

/// Places a generation request so that the request, and those already in progress, meet their objectives as far as possible.
Placement placeGeneration(const EngineModel &engine, const std::vector<PlacementCandidate> &candidates, const PlacementRequest &request);

}
