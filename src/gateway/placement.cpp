#include "gateway/placement.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Lentillock
{

namespace
{

/// A prompt whose reading takes longer than this is long: one pass that reads it delays every request that generates beside it.
constexpr double LongReadMs = 260;

/// Part of an objective that may be planned for; the rest covers the links and what is not known yet.
constexpr double PlannedPart = 0.6;

/// Cost of a place that no request should get while there is any other.
constexpr double ForbiddenCost = 1000;

/// Cost of an endpoint that fails all that it runs.
constexpr double FailureCost = 2;

/// A request that arrives in the middle of a pass waits for half of it and gets its first event after the next one.
constexpr double PassesToFirstEvent = 1.5;

/// Cost, in lost short requests, of putting a request where memory or places run out.
constexpr double OverflowCost = 3;

/// Prompt tokens of a request that is worth 1, and the growth of the worth with the length.
constexpr double UnitWorthTokens = 5000;
constexpr double WorthExponent = 0.8;

/// Reading in one part that is avoided as long as there are endpoints to share it: everything else at the endpoint waits for it.
constexpr double LongestPartMs = 700;

/// Makes all VMs use further endpoints for short requests in the same order.
constexpr double OrderCost = 0.004;

/// Spreads requests that are placed on several VMs at the same moment, before the VMs know of each other's.
constexpr double SpreadCost = 0.05;
constexpr double SpreadReadMs = 40;

/// The same for a VM that does not know what the others have sent. After a loss of all VMs every caller comes back at once, and VMs that
/// see idle endpoints would all choose the first ones.
constexpr double UnknownFleetSpreadCost = 0.6;
constexpr double UnknownFleetSpreadReadMs = 400;

/// Slope that prefers an earlier first event among places that all meet the objective.
constexpr double EarlinessCost = 0.05;

/// Cost of each further endpoint that takes part in reading one prompt.
constexpr double HelperCost = 0.02;

/// Part of the free memory that a prompt may take without reservations elsewhere.
constexpr double FreeMemoryPart = 0.9;

/// Part of an engine's places that short requests fill before another endpoint is kept free for them.
constexpr double ShortFill = 0.7;

/// Short requests that may arrive before the next load report.
constexpr double ShortReserve = 3;

/// Part of the endpoints that remains for long prompts, however many short requests there are.
constexpr double LongMinimumPart = 0.2;

/// Cost of putting a short request on an endpoint that reads long prompts.
constexpr double SpillCost = 0.05;

/// Expected first event of a short request, in parts of its objective, beyond which it is refused, and when it may come back.
constexpr double ShortRefusalPart = 1.2;
constexpr double ShortRetryMinimumMs = 500;
constexpr std::uint64_t ShortRetrySpreadMs = 2500;

/// The same for a long prompt, whose objective leaves it time to come back.
constexpr double LongRetryMinimumMs = 400;
constexpr std::uint64_t LongRetrySpreadMs = 1000;

/// Reading that requests beside it do not notice, and the reading beyond it that makes all of them late, in one pass.
constexpr double HarmlessReadMs = 100;
constexpr double HarmfulReadMs = 100;

/// The same for requests with long prompts, whose pauses may be longer, and what one of them is worth.
constexpr double LongHarmlessReadMs = 500;
constexpr double LongHarmfulReadMs = 400;
constexpr double LongWriterWorth = 14;

/// Reading that one request which generates at an endpoint stands for when readers of a long prompt are chosen.
constexpr double ShortWriterReadMs = 30;
constexpr double LongWriterReadMs = 100;

/// Long reading at each endpoint for long prompts that makes it certain that a pause is too long.
constexpr double FullReadingMs = 400;

/// Cost of a call to another availability zone, and the spread between endpoints that are equally busy, in requests in progress.
constexpr double RemoteCost = 0.5;
constexpr double CallSpreadCost = 0.4;

/// Pause objective below which the reading of long prompts beside it makes a stream late.
constexpr double TightPauseMs = 800;

/// Price of reading, in worth for each second of an endpoint, for each second of reading that waits at the endpoints for long prompts.
/// A typical long prompt is worth five times its reading; this lets it wait for its objective and turns away larger ones earlier.
constexpr double ReadingPrice = 3;

/// Waiting that a fleet stands for of which every endpoint reads, though nothing waits at this moment: what arrives next will.
constexpr double CrowdingMs = 1600;

/// An endpoint that has this much to read counts as reading.
constexpr double ReadingMs = 200;

/// Reading that raises the use of the fleet by its own part: what arrives meanwhile finds all endpoints reading.
constexpr double OwnUseMs = 1000;

/// Part of the worth that is lost when the first event comes after the objective.
constexpr double LateLoss = 0.75;

/// The larger a prompt, the less may wait to be read before it: this product is divided by its reading time.
constexpr double AllowedStartMsSquared = 1'200'000;

/// The endpoint itself and the helpers that one request may name.
constexpr std::size_t MaxReaders = 17;

/// Share of the worth that is lost when the first event is expected after @p expectedMs: 0 inside the planned part, 1 well after the objective.
double lateness(double expectedMs, double objectiveMs)
{
    return std::clamp((expectedMs - PlannedPart * objectiveMs) / (PlannedPart * objectiveMs), 0.0, 2.0);
}

/// What a request is worth, in short requests.
double worthOf(const PlacementRequest &request)
{
    return std::pow(request.promptTokens / UnitWorthTokens, WorthExponent);
}

/// Short requests at an endpoint that lose their objective when it reads for @p partMs in one pass.
double harm(double partMs, double shortRequests)
{
    return shortRequests * std::clamp((partMs - HarmlessReadMs) / HarmfulReadMs, 0.0, 1.0);
}

/// Worth that long requests which generate at an endpoint lose when it reads for @p iterationMs in one pass.
double longHarm(double iterationMs, double longRequests)
{
    return longRequests * LongWriterWorth * std::clamp((iterationMs - LongHarmlessReadMs) / LongHarmfulReadMs, 0.0, 1.0);
}

/// A number in 0 to 1 by which requests that see the same loads choose different endpoints.
double spread(const PlacementCandidate &candidate, std::uint64_t seed)
{
    return static_cast<double>(stableHash(candidate.endpoint->id.value(), seed) % 1000) / 1000;
}

double placeCost(const PlacementCandidate &candidate)
{
    return (candidate.isSuspended ? ForbiddenCost : 0) + candidate.failureRate * FailureCost;
}

/// Endpoints, from the front of the common order, that are kept for short requests.
std::size_t shortSetSize(const EngineModel &engine, const std::vector<PlacementCandidate> &candidates, double shortDemand)
{
    double writers = 0;
    for (const PlacementCandidate &candidate : candidates) {
        writers += candidate.load.shortRequests;
    }
    writers = std::max(writers, shortDemand) + ShortReserve;
    const auto wanted = static_cast<std::size_t>(std::ceil(writers / (ShortFill * engine.slots)));
    const auto most = static_cast<std::size_t>((1 - LongMinimumPart) * static_cast<double>(candidates.size()));
    return std::clamp<std::size_t>(wanted, 1, std::max<std::size_t>(most, 1));
}

Placement placeShort(const EngineModel &engine, const std::vector<PlacementCandidate> &candidates, const PlacementRequest &request)
{
    const double prefillMs = engine.prefillMs(request.promptTokens);
    const std::size_t shortSet = request.loadsIncludePeers ? shortSetSize(engine, candidates, request.shortDemand) : candidates.size();
    const double spreadCost = request.loadsIncludePeers ? SpreadCost : UnknownFleetSpreadCost;
    Placement best;
    double bestCost = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const PlacementCandidate &candidate = candidates[index];
        const EndpointLoad &load = candidate.load;
        const double memory = load.memoryTokens + request.promptTokens + request.answerTokens;
        const double iterationMs = engine.iterationMs(load.requests + 1, memory);
        const double excess = std::max(0.0, load.requests + 1 - engine.slots);
        const double slotMs = excess * engine.decodeMs(engine.meanAnswerTokens) / engine.slots;
        const double firstEventMs = load.remainingPrefillMs() + prefillMs + slotMs + PassesToFirstEvent * iterationMs;
        double cost = placeCost(candidate) + spreadCost * spread(candidate, request.seed);
        cost += index < shortSet ? 0 : SpillCost + OrderCost * static_cast<double>(index);
        cost += lateness(firstEventMs, request.remainingObjectiveMs) + EarlinessCost * firstEventMs / request.remainingObjectiveMs;
        cost += harm(load.remainingPrefillMs() + prefillMs, load.shortRequests);
        cost += OverflowCost * excess / engine.slots;
        cost += memory > engine.memoryTokens ? OverflowCost : 0;
        if (best.endpoint == nullptr || cost < bestCost) {
            bestCost = cost;
            best = {.endpoint = candidate.endpoint, .prefillMs = prefillMs, .firstEventMs = firstEventMs};
        }
    }
    best.endpointTokens = static_cast<std::uint64_t>(request.promptTokens + request.answerTokens);
    // A queue of late requests would make all that follow late; the ones that come back find it shorter. A request that has been late
    // since its arrival is no reason to refuse it.
    best.isRefused = best.firstEventMs > ShortRefusalPart * request.firstEventObjectiveMs;
    // Spread, so that the refused ones do not come back together.
    best.retryAfterMs = ShortRetryMinimumMs + static_cast<double>(request.seed % ShortRetrySpreadMs);
    return best;
}

/// Distributes the memory of a prompt over @p readers, the first of which becomes the endpoint. Returns false if it does not fit.
bool distributeMemory(const EngineModel &engine, std::vector<const PlacementCandidate *> &readers, const PlacementRequest &request, Placement &placement)
{
    const auto freeMemory = [&engine](const PlacementCandidate *reader) { return engine.memoryTokens - reader->load.memoryTokens; };
    std::stable_sort(readers.begin(), readers.end(), [&freeMemory](const PlacementCandidate *left, const PlacementCandidate *right) {
        return freeMemory(left) > freeMemory(right);
    });
    const double needed = request.promptTokens + request.answerTokens;
    const double atEndpoint = FreeMemoryPart * freeMemory(readers.front());
    placement.endpointTokens = static_cast<std::uint64_t>(needed);
    if (needed <= atEndpoint) {
        return true;
    }
    if (readers.size() == 1) {
        return false;
    }
    // Equal parts everywhere leave the most room for others; the endpoint holds the remainder and the answer.
    const double part = std::ceil(request.promptTokens / static_cast<double>(readers.size()));
    const bool fits = std::all_of(readers.begin(), readers.end(), [&](const PlacementCandidate *reader) {
        return part + (reader == readers.front() ? request.answerTokens : 0) <= FreeMemoryPart * freeMemory(reader);
    });
    placement.helperTokens = static_cast<std::uint64_t>(part);
    placement.endpointTokens = static_cast<std::uint64_t>(part + request.answerTokens);
    return fits;
}

/// A placement with its cost in lost worth.
struct CostedPlacement {
    Placement placement;
    double cost = 0;
};

/// The best placement of a long prompt on the first of @p order, each endpoint reading an equal part.
CostedPlacement placeLongOn(
    const EngineModel &engine, const std::vector<const PlacementCandidate *> &order, const PlacementRequest &request, double pauseRisk, double expectedWriters)
{
    const double prefillMs = engine.prefillMs(request.promptTokens);
    const double worth = worthOf(request);
    CostedPlacement best;
    const std::size_t most = std::min(order.size(), MaxReaders);
    for (std::size_t count = 1; count <= most; ++count) {
        if (prefillMs / static_cast<double>(count) > LongestPartMs && count < most) {
            continue;
        }
        std::vector<const PlacementCandidate *> readers(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count));
        const double partMs = prefillMs / static_cast<double>(count);
        double prefillStartMs = 0;
        double cost = HelperCost * static_cast<double>(count) + worth * pauseRisk;
        double disturbance = 0;
        for (const PlacementCandidate *reader : readers) {
            prefillStartMs = std::max(prefillStartMs, reader->load.remainingPrefillMs());
            const double writers = std::max(reader->load.shortRequests, expectedWriters);
            cost += placeCost(*reader);
            disturbance += harm(partMs + reader->load.remainingLongPrefillMs(), writers);
            disturbance += longHarm(partMs + reader->load.remainingPrefillMs(), reader->load.longRequests);
        }
        cost += disturbance;
        Placement placement{.prefillMs = partMs, .isLong = true};
        placement.disturbance = disturbance;
        placement.prefillStartMs = prefillStartMs;
        placement.maxPrefillStartMs = AllowedStartMsSquared / prefillMs;
        placement.firstEventMs = prefillStartMs + partMs + engine.iterationMs(1, request.promptTokens);
        cost += distributeMemory(engine, readers, request, placement) ? 0 : ForbiddenCost / 2;
        cost
            += worth * (lateness(placement.firstEventMs, request.remainingObjectiveMs) + EarlinessCost * placement.firstEventMs / request.remainingObjectiveMs);
        if (best.placement.endpoint != nullptr && cost >= best.cost) {
            continue;
        }
        placement.endpoint = readers.front()->endpoint;
        for (std::size_t index = 1; index < readers.size(); ++index) {
            placement.helpers.push_back(readers[index]->endpoint);
        }
        best = {std::move(placement), cost};
    }
    return best;
}

/// Puts the endpoints first that can begin to read a part of the prompt soonest, and disturb the fewest streams by it.
void sortByUse(std::vector<const PlacementCandidate *> &candidates, const PlacementRequest &request)
{
    const double spreadReadMs = request.loadsIncludePeers ? SpreadReadMs : UnknownFleetSpreadReadMs;
    std::vector<std::pair<double, const PlacementCandidate *>> byUse;
    byUse.reserve(candidates.size());
    for (const PlacementCandidate *candidate : candidates) {
        const EndpointLoad &load = candidate->load;
        const double use = load.remainingPrefillMs() + ForbiddenCost * placeCost(*candidate) + load.shortRequests * ShortWriterReadMs
            + load.longRequests * LongWriterReadMs + spreadReadMs * spread(*candidate, request.seed);
        byUse.emplace_back(use, candidate);
    }
    std::stable_sort(byUse.begin(), byUse.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    std::transform(byUse.begin(), byUse.end(), candidates.begin(), [](const auto &entry) { return entry.second; });
}

Placement placeLong(const EngineModel &engine, const std::vector<PlacementCandidate> &candidates, const PlacementRequest &request)
{
    const std::size_t shortSet = shortSetSize(engine, candidates, request.shortDemand);
    std::vector<const PlacementCandidate *> shortOrder;
    std::vector<const PlacementCandidate *> longOrder;
    double longReadMs = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        (index < shortSet ? shortOrder : longOrder).push_back(&candidates[index]);
        longReadMs += index < shortSet ? 0 : candidates[index].load.remainingLongPrefillMs();
    }
    sortByUse(shortOrder, request);
    sortByUse(longOrder, request);
    const double reading = longOrder.empty() ? 0 : std::min(1.0, longReadMs / (FullReadingMs * static_cast<double>(longOrder.size())));
    const double pauseRisk = request.pauseObjectiveMs < TightPauseMs ? reading / 2 : 0;
    CostedPlacement onLong = placeLongOn(engine, longOrder, request, pauseRisk, 0);
    CostedPlacement onShort = placeLongOn(engine, shortOrder, request, 0, request.shortDemand / static_cast<double>(std::max<std::size_t>(shortSet, 1)));
    const bool useLong = onShort.placement.endpoint == nullptr || (onLong.placement.endpoint != nullptr && onLong.cost <= onShort.cost);
    Placement placement = useLong ? onLong.placement : onShort.placement;
    if (placement.endpoint != nullptr && !longOrder.empty()) {
        double waitingMs = 0;
        double inUse = 0;
        for (const PlacementCandidate *candidate : longOrder) {
            waitingMs += candidate->load.remainingPrefillMs() / static_cast<double>(longOrder.size());
            inUse += std::min(1.0, candidate->load.remainingPrefillMs() / ReadingMs);
        }
        const auto fleet = static_cast<double>(candidates.size());
        const double ownUse = engine.prefillMs(request.promptTokens) / OwnUseMs / fleet;
        placement.fleetUtilization = std::min(1.0, (1 + ownUse) * inUse / fleet);
        const double crowdingMs = CrowdingMs * placement.fleetUtilization;
        placement.expectedValue = worthOf(request) * (1 - LateLoss * std::min(1.0, lateness(placement.firstEventMs, request.remainingObjectiveMs)))
            - LateLoss * placement.disturbance;
        placement.opportunityCost = ReadingPrice * (waitingMs + crowdingMs) / 1000 * engine.prefillMs(request.promptTokens) / 1000;
        placement.meanPrefillBacklogMs = waitingMs;
        placement.isRefused = placement.expectedValue < placement.opportunityCost || placement.firstEventMs > request.timeLeftMs;
        placement.retryAfterMs = std::max(waitingMs, LongRetryMinimumMs + static_cast<double>(request.seed % LongRetrySpreadMs));
    }
    return placement;
}

}

Placement placeCall(const std::vector<PlacementCandidate> &candidates, std::uint64_t seed)
{
    Placement best;
    double bestCost = 0;
    for (const PlacementCandidate &candidate : candidates) {
        const double cost = placeCost(candidate) + candidate.load.requests + (candidate.isLocal ? 0 : RemoteCost) + CallSpreadCost * spread(candidate, seed);
        if (best.endpoint == nullptr || cost < bestCost) {
            bestCost = cost;
            best.endpoint = candidate.endpoint;
        }
    }
    return best;
}

Placement placeGeneration(const EngineModel &engine, const std::vector<PlacementCandidate> &candidates, const PlacementRequest &request)
{
    return engine.prefillMs(request.promptTokens) > LongReadMs ? placeLong(engine, candidates, request) : placeShort(engine, candidates, request);
}

}
