#include "gateway/placement.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Lentillock
{

namespace
{

// Costs and values are in units of the value of one short request that is served within its objective.

/// A prompt with a longer prefill is long: an engine iteration that computes it delays every request that decodes on the same engine.
constexpr double LongPrefillMs = 260;

/// Fraction of a latency objective within which an expected first event counts as in time. The rest covers network latency and load that is not known yet.
constexpr double PlannedObjectiveFraction = 0.6;

/// Cost of a candidate that must not be chosen while there is any other.
constexpr double ExclusionCost = 1000;

/// Cost of an endpoint that fails every request; it is proportional to the failure rate.
constexpr double FailureCost = 2;

/// A request that arrives during an iteration waits for half of it on average and gets its first event at the end of the next one.
constexpr double IterationsToFirstEvent = 1.5;

/// Cost of placing a request on an endpoint that runs out of memory or slots.
constexpr double OverflowCost = 3;

/// Prompt length of a request with a value of 1, and the exponent by which the value grows with the length.
constexpr double UnitValueTokens = 5000;
constexpr double ValueExponent = 0.8;

/// Prefill time on one endpoint above which a prompt is split further if there are endpoints left, because all other requests of the
/// endpoint wait for it.
constexpr double MaxPrefillPartMs = 700;

/// Cost per position in the candidate list. It makes all VMs add endpoints for short requests in the same order.
constexpr double PositionCost = 0.004;

/// Random cost that distributes requests placed by several VMs at the same moment, before the VMs have received each other's load reports.
constexpr double JitterCost = 0.05;
constexpr double JitterPrefillMs = 40;

/// The same for a VM without the load reports of the others. After an outage of all VMs every caller reconnects at once, and VMs that see
/// only idle endpoints would all choose the first ones.
constexpr double UnknownLoadJitterCost = 0.6;
constexpr double UnknownLoadJitterPrefillMs = 400;

/// Cost of a first event at the objective, proportional to its time. Prefers the earliest among placements that all meet the objective.
constexpr double LatencyCost = 0.05;

/// Cost of each additional endpoint that computes a part of one prompt.
constexpr double HelperCost = 0.02;

/// Fraction of an endpoint's free memory that one prompt may use. A prompt that needs more is distributed over helpers with reservations.
constexpr double FreeMemoryFraction = 0.9;

/// Slot utilization of the endpoints in the short pool above which the pool grows by another endpoint.
constexpr double ShortSlotUtilization = 0.7;

/// Short requests that may arrive before the next load report.
constexpr double ShortArrivalReserve = 3;

/// Fraction of the endpoints that stays available to long prompts regardless of the number of short requests.
constexpr double MinLongPoolFraction = 0.2;

/// Cost of placing a short request on an endpoint of the long pool.
constexpr double LongPoolCost = 0.05;

/// A short request is rejected when its first event is expected after this multiple of its objective. The other values determine when the
/// caller may retry.
constexpr double ShortRejectionFraction = 1.2;
constexpr double ShortRetryMinMs = 500;
constexpr std::uint64_t ShortRetryJitterMs = 2500;

/// Retry delay of a rejected long prompt. It is shorter, so that a retry still fits into the longer objective of the prompt.
constexpr double LongRetryMinMs = 400;
constexpr std::uint64_t LongRetryJitterMs = 1000;

/// Prefill time in one iteration that does not delay the short requests of the endpoint noticeably, and the additional time after which all
/// of them are late.
constexpr double ShortToleratedPrefillMs = 100;
constexpr double ShortDelayRangeMs = 100;

/// The same for requests with long prompts, which allow longer pauses between events, and the value of one such request.
constexpr double LongToleratedPrefillMs = 500;
constexpr double LongDelayRangeMs = 400;
constexpr double LongRequestValue = 14;

/// Prefill time that counts as equivalent to one request on an endpoint when the endpoints for a long prompt are chosen.
constexpr double ShortRequestLoadMs = 30;
constexpr double LongRequestLoadMs = 100;

/// Mean long prefill backlog of the long pool at which a stream with a tight pause objective gets the highest pause risk.
constexpr double MaxPauseRiskPrefillMs = 400;

/// Cost of a call to another availability zone, and random cost that distributes calls over equally loaded endpoints, both in requests in
/// progress.
constexpr double CrossZoneCost = 0.5;
constexpr double CallJitterCost = 0.4;

/// Pause objective below which the prefill of long prompts on the same endpoint makes a stream late.
constexpr double TightPauseObjectiveMs = 800;

/// Cost of one second of prefill on one endpoint, per second of prefill backlog in the long pool. A typical long prompt has five times the
/// value of its prefill; this factor lets it wait for as long as its objective allows and rejects larger prompts earlier.
constexpr double PrefillCostFactor = 3;

/// Backlog that is assumed when every endpoint is computing a prefill, even if none is queued: the next prompts to arrive have to wait.
constexpr double FullUtilizationBacklogMs = 1600;

/// Remaining prefill at which an endpoint counts as fully utilized.
constexpr double BusyPrefillMs = 200;

/// A prompt with this prefill time per endpoint of the service doubles the utilization that it is charged for, because prompts that arrive
/// meanwhile find all endpoints busy.
constexpr double OwnUtilizationPrefillMs = 1000;

/// Fraction of the value that is lost when the first event comes after the objective.
constexpr double LateValueLoss = 0.75;

/// A prompt is held while its prefill would start later than this product divided by its prefill time, so that smaller prompts go first.
constexpr double MaxPrefillStartMsSquared = 1'200'000;

/// Maximum number of endpoints for one prompt: the endpoint itself and the helpers that a request may name.
constexpr std::size_t MaxPrefillEndpoints = 17;

/// Lateness of a first event that is expected after @p expectedMs: 0 within the planned fraction of the objective, 1 at twice that fraction,
/// and at most 2.
double lateness(double expectedMs, double objectiveMs)
{
    return std::clamp((expectedMs - PlannedObjectiveFraction * objectiveMs) / (PlannedObjectiveFraction * objectiveMs), 0.0, 2.0);
}

/// Value of serving a request within its objective.
double valueOf(const PlacementRequest &request)
{
    return std::pow(request.promptTokens / UnitValueTokens, ValueExponent);
}

/// Expected number of short requests on an endpoint that miss their objective when one iteration contains @p partMs of prefill.
double delayedShortRequests(double partMs, double shortRequests)
{
    return shortRequests * std::clamp((partMs - ShortToleratedPrefillMs) / ShortDelayRangeMs, 0.0, 1.0);
}

/// Value of the long requests on an endpoint that miss their objective when one iteration contains @p partMs of prefill.
double delayedLongRequestValue(double partMs, double longRequests)
{
    return longRequests * LongRequestValue * std::clamp((partMs - LongToleratedPrefillMs) / LongDelayRangeMs, 0.0, 1.0);
}

/// Pseudo-random number from 0 to 1 that makes requests choose different endpoints when they see the same loads.
double jitter(const PlacementCandidate &candidate, std::uint64_t seed)
{
    return static_cast<double>(stableHash(candidate.endpoint->id.value(), seed) % 1000) / 1000;
}

double healthCost(const PlacementCandidate &candidate)
{
    return (candidate.isSuspended ? ExclusionCost : 0) + candidate.failureRate * FailureCost;
}

/// Number of candidates, from the front of the list, that form the pool for short requests. The others form the pool for long prompts.
std::size_t shortPoolSize(const EngineModel &engine, const std::vector<PlacementCandidate> &candidates, double shortDemand)
{
    double shortConcurrency = 0;
    for (const PlacementCandidate &candidate : candidates) {
        shortConcurrency += candidate.load.shortRequests;
    }
    shortConcurrency = std::max(shortConcurrency, shortDemand) + ShortArrivalReserve;
    const auto wanted = static_cast<std::size_t>(std::ceil(shortConcurrency / (ShortSlotUtilization * engine.slots)));
    const auto maxCount = static_cast<std::size_t>((1 - MinLongPoolFraction) * static_cast<double>(candidates.size()));
    return std::clamp<std::size_t>(wanted, 1, std::max<std::size_t>(maxCount, 1));
}

Placement placeShort(const EngineModel &engine, const std::vector<PlacementCandidate> &candidates, const PlacementRequest &request)
{
    const double prefillMs = engine.prefillMs(request.promptTokens);
    const std::size_t shortPoolCount = request.loadsIncludePeers ? shortPoolSize(engine, candidates, request.shortDemand) : candidates.size();
    const double jitterCost = request.loadsIncludePeers ? JitterCost : UnknownLoadJitterCost;
    Placement best;
    double bestCost = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const PlacementCandidate &candidate = candidates[index];
        const EndpointLoad &load = candidate.load;
        const double memory = load.memoryTokens + request.promptTokens + request.maxOutputTokens;
        const double iterationMs = engine.iterationMs(load.requests + 1, memory);
        const double excess = std::max(0.0, load.requests + 1 - engine.slots);
        const double slotMs = excess * engine.decodeMs(engine.meanOutputTokens) / engine.slots;
        const double firstEventMs = load.remainingPrefillMs() + prefillMs + slotMs + IterationsToFirstEvent * iterationMs;
        double cost = healthCost(candidate) + jitterCost * jitter(candidate, request.seed);
        cost += index < shortPoolCount ? 0 : LongPoolCost + PositionCost * static_cast<double>(index);
        cost += lateness(firstEventMs, request.remainingObjectiveMs) + LatencyCost * firstEventMs / request.remainingObjectiveMs;
        cost += delayedShortRequests(load.remainingPrefillMs() + prefillMs, load.shortRequests);
        cost += OverflowCost * excess / engine.slots;
        cost += memory > engine.memoryTokens ? OverflowCost : 0;
        if (best.endpoint == nullptr || cost < bestCost) {
            bestCost = cost;
            best = {.endpoint = candidate.endpoint, .prefillMs = prefillMs, .firstEventMs = firstEventMs};
        }
    }
    best.endpointTokens = static_cast<std::uint64_t>(request.promptTokens + request.maxOutputTokens);
    // A queue of late requests would delay all requests behind it; rejected requests find a shorter queue when they retry. The full objective
    // is used here because a request that has already waited in this VM must not be rejected for that alone.
    best.isRejected = best.firstEventMs > ShortRejectionFraction * request.firstEventObjectiveMs;
    // Randomized, so that the rejected callers do not retry at the same time.
    best.retryAfterMs = ShortRetryMinMs + static_cast<double>(request.seed % ShortRetryJitterMs);
    return best;
}

/// Distributes the memory of a prompt over @p participants and sorts them by free memory; the first one becomes the endpoint, the others its
/// helpers. Returns false if the prompt does not fit.
bool distributeMemory(const EngineModel &engine, std::vector<const PlacementCandidate *> &participants, const PlacementRequest &request, Placement &placement)
{
    const auto freeMemory = [&engine](const PlacementCandidate *participant) { return engine.memoryTokens - participant->load.memoryTokens; };
    std::stable_sort(participants.begin(), participants.end(), [&freeMemory](const PlacementCandidate *left, const PlacementCandidate *right) {
        return freeMemory(left) > freeMemory(right);
    });
    const double needed = request.promptTokens + request.maxOutputTokens;
    const double available = FreeMemoryFraction * freeMemory(participants.front());
    placement.endpointTokens = static_cast<std::uint64_t>(needed);
    if (needed <= available) {
        return true;
    }
    if (participants.size() == 1) {
        return false;
    }
    // Equal parts leave the most free memory for other requests. The endpoint also holds the output.
    const double part = std::ceil(request.promptTokens / static_cast<double>(participants.size()));
    const bool fits = std::all_of(participants.begin(), participants.end(), [&](const PlacementCandidate *participant) {
        return part + (participant == participants.front() ? request.maxOutputTokens : 0) <= FreeMemoryFraction * freeMemory(participant);
    });
    placement.helperTokens = static_cast<std::uint64_t>(part);
    placement.endpointTokens = static_cast<std::uint64_t>(part + request.maxOutputTokens);
    return fits;
}

/// A placement and its cost.
struct CostedPlacement {
    Placement placement;
    double cost = 0;
};

/// Returns the cheapest placement of a long prompt on the first endpoints of @p pool, each of which computes an equal part of the prefill.
CostedPlacement placeLongInPool(const EngineModel &engine,
                                const std::vector<const PlacementCandidate *> &pool,
                                const PlacementRequest &request,
                                double pauseRisk,
                                double expectedShortRequests)
{
    const double prefillMs = engine.prefillMs(request.promptTokens);
    const double promptValue = valueOf(request);
    CostedPlacement best;
    const std::size_t maxCount = std::min(pool.size(), MaxPrefillEndpoints);
    for (std::size_t count = 1; count <= maxCount; ++count) {
        if (prefillMs / static_cast<double>(count) > MaxPrefillPartMs && count < maxCount) {
            continue;
        }
        std::vector<const PlacementCandidate *> participants(pool.begin(), pool.begin() + static_cast<std::ptrdiff_t>(count));
        const double partMs = prefillMs / static_cast<double>(count);
        double prefillStartMs = 0;
        double cost = HelperCost * static_cast<double>(count) + promptValue * pauseRisk;
        double interferenceCost = 0;
        for (const PlacementCandidate *participant : participants) {
            prefillStartMs = std::max(prefillStartMs, participant->load.remainingPrefillMs());
            const double shortConcurrency = std::max(participant->load.shortRequests, expectedShortRequests);
            cost += healthCost(*participant);
            interferenceCost += delayedShortRequests(partMs + participant->load.remainingLongPrefillMs(), shortConcurrency);
            interferenceCost += delayedLongRequestValue(partMs + participant->load.remainingPrefillMs(), participant->load.longRequests);
        }
        cost += interferenceCost;
        Placement placement{.prefillMs = partMs, .isLong = true};
        placement.interferenceCost = interferenceCost;
        placement.prefillStartMs = prefillStartMs;
        placement.maxPrefillStartMs = MaxPrefillStartMsSquared / prefillMs;
        placement.firstEventMs = prefillStartMs + partMs + engine.iterationMs(1, request.promptTokens);
        cost += distributeMemory(engine, participants, request, placement) ? 0 : ExclusionCost / 2;
        cost += promptValue
            * (lateness(placement.firstEventMs, request.remainingObjectiveMs) + LatencyCost * placement.firstEventMs / request.remainingObjectiveMs);
        if (best.placement.endpoint != nullptr && cost >= best.cost) {
            continue;
        }
        placement.endpoint = participants.front()->endpoint;
        for (std::size_t index = 1; index < participants.size(); ++index) {
            placement.helpers.push_back(participants[index]->endpoint);
        }
        best = {std::move(placement), cost};
    }
    return best;
}

/// Sorts the endpoints that can start the prefill earliest, and delay the fewest streams by it, to the front.
void sortByLoad(std::vector<const PlacementCandidate *> &candidates, const PlacementRequest &request)
{
    const double jitterPrefillMs = request.loadsIncludePeers ? JitterPrefillMs : UnknownLoadJitterPrefillMs;
    std::vector<std::pair<double, const PlacementCandidate *>> byLoad;
    byLoad.reserve(candidates.size());
    for (const PlacementCandidate *candidate : candidates) {
        const EndpointLoad &load = candidate->load;
        const double loadScore = load.remainingPrefillMs() + ExclusionCost * healthCost(*candidate) + load.shortRequests * ShortRequestLoadMs
            + load.longRequests * LongRequestLoadMs + jitterPrefillMs * jitter(*candidate, request.seed);
        byLoad.emplace_back(loadScore, candidate);
    }
    std::stable_sort(byLoad.begin(), byLoad.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    std::transform(byLoad.begin(), byLoad.end(), candidates.begin(), [](const auto &entry) { return entry.second; });
}

Placement placeLong(const EngineModel &engine, const std::vector<PlacementCandidate> &candidates, const PlacementRequest &request)
{
    const std::size_t shortPoolCount = shortPoolSize(engine, candidates, request.shortDemand);
    std::vector<const PlacementCandidate *> shortPool;
    std::vector<const PlacementCandidate *> longPool;
    double longPoolPrefillMs = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        (index < shortPoolCount ? shortPool : longPool).push_back(&candidates[index]);
        longPoolPrefillMs += index < shortPoolCount ? 0 : candidates[index].load.remainingLongPrefillMs();
    }
    sortByLoad(shortPool, request);
    sortByLoad(longPool, request);
    const double prefillRatio = longPool.empty() ? 0 : std::min(1.0, longPoolPrefillMs / (MaxPauseRiskPrefillMs * static_cast<double>(longPool.size())));
    const double pauseRisk = request.pauseObjectiveMs < TightPauseObjectiveMs ? prefillRatio / 2 : 0;
    CostedPlacement longPoolPlacement = placeLongInPool(engine, longPool, request, pauseRisk, 0);
    CostedPlacement shortPoolPlacement
        = placeLongInPool(engine, shortPool, request, 0, request.shortDemand / static_cast<double>(std::max<std::size_t>(shortPoolCount, 1)));
    const bool usesLongPool = shortPoolPlacement.placement.endpoint == nullptr
        || (longPoolPlacement.placement.endpoint != nullptr && longPoolPlacement.cost <= shortPoolPlacement.cost);
    Placement placement = usesLongPool ? longPoolPlacement.placement : shortPoolPlacement.placement;
    if (placement.endpoint != nullptr && !longPool.empty()) {
        double backlogMs = 0;
        double busyEndpoints = 0;
        for (const PlacementCandidate *candidate : longPool) {
            backlogMs += candidate->load.remainingPrefillMs() / static_cast<double>(longPool.size());
            busyEndpoints += std::min(1.0, candidate->load.remainingPrefillMs() / BusyPrefillMs);
        }
        const auto endpointCount = static_cast<double>(candidates.size());
        const double ownUtilization = engine.prefillMs(request.promptTokens) / OwnUtilizationPrefillMs / endpointCount;
        placement.endpointUtilization = std::min(1.0, (1 + ownUtilization) * busyEndpoints / endpointCount);
        const double expectedBacklogMs = FullUtilizationBacklogMs * placement.endpointUtilization;
        placement.expectedValue = valueOf(request) * (1 - LateValueLoss * std::min(1.0, lateness(placement.firstEventMs, request.remainingObjectiveMs)))
            - LateValueLoss * placement.interferenceCost;
        placement.opportunityCost = PrefillCostFactor * (backlogMs + expectedBacklogMs) / 1000 * engine.prefillMs(request.promptTokens) / 1000;
        placement.meanPrefillBacklogMs = backlogMs;
        placement.isRejected = placement.expectedValue < placement.opportunityCost || placement.firstEventMs > request.timeLeftMs;
        placement.retryAfterMs = std::max(backlogMs, LongRetryMinMs + static_cast<double>(request.seed % LongRetryJitterMs));
    }
    return placement;
}

}

Placement placeCall(const std::vector<PlacementCandidate> &candidates, std::uint64_t seed)
{
    Placement best;
    double bestCost = 0;
    for (const PlacementCandidate &candidate : candidates) {
        const double cost
            = healthCost(candidate) + candidate.load.requests + (candidate.isLocal ? 0 : CrossZoneCost) + CallJitterCost * jitter(candidate, seed);
        if (best.endpoint == nullptr || cost < bestCost) {
            bestCost = cost;
            best.endpoint = candidate.endpoint;
        }
    }
    return best;
}

Placement placeGeneration(const EngineModel &engine, const std::vector<PlacementCandidate> &candidates, const PlacementRequest &request)
{
    return engine.prefillMs(request.promptTokens) > LongPrefillMs ? placeLong(engine, candidates, request) : placeShort(engine, candidates, request);
}

}
