#include "gateway/placement.h"

#include "base/hash.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string>

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

/// Cost, in lost short requests, of putting a request where memory or places run out.
constexpr double OverflowCost = 3;

/// Prompt tokens of a request that is worth 1, and the growth of the worth with the length.
constexpr double UnitWorthTokens = 5000;
constexpr double WorthExponent = 0.8;

/// Makes all VMs fill the endpoints in the same order, short work from one end and long work from the other.
constexpr double OrderCost = 0.004;

/// Slope that prefers an earlier first event among places that all meet the objective.
constexpr double EarlinessCost = 0.05;

/// Cost of each further endpoint that takes part in reading one prompt.
constexpr double HelperCost = 0.02;

/// Part of the free memory that a prompt may take without reservations elsewhere.
constexpr double FreeMemoryPart = 0.9;

constexpr std::array<std::size_t, 11> ReaderCounts{1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17};

/// Share of the worth that is lost when the first event is expected after @p expectedMs: 0 inside the planned part, 1 well after the objective.
double lateness(double expectedMs, double objectiveMs)
{
    return std::clamp((expectedMs - PlannedPart * objectiveMs) / (PlannedPart * objectiveMs), 0.0, 2.0);
}

/// Short requests at an endpoint that lose their objective when it reads for @p partMs in one pass.
double harm(double partMs, double shortWriters, double pauseMs)
{
    return shortWriters * std::clamp(partMs / std::max(pauseMs, 1.0), 0.0, 1.0);
}

double placeCost(const PlacementCandidate &candidate)
{
    return (candidate.isSuspended ? ForbiddenCost : 0) + candidate.failureShare * 2;
}

Placement placeShort(const EngineModel &engine, const std::vector<PlacementCandidate> &candidates, const PlacementRequest &request)
{
    const double readMs = engine.readMs(request.promptTokens);
    Placement best;
    double bestCost = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const PlacementCandidate &candidate = candidates[index];
        const EndpointLoad &load = candidate.load;
        const double memory = load.memoryTokens + request.promptTokens + request.answerTokens;
        const double passMs = engine.passMs(load.requests + 1, memory) * candidate.pace;
        const double firstEventMs = (load.readMs + readMs) * candidate.pace + 1.5 * passMs;
        double cost = placeCost(candidate) + OrderCost * static_cast<double>(index);
        cost += lateness(firstEventMs, request.objectiveMs) + EarlinessCost * firstEventMs / request.objectiveMs;
        cost += OverflowCost * std::max(0.0, load.requests + 1 - engine.slots) / engine.slots;
        cost += load.requests + 1 > engine.slots ? OverflowCost : 0;
        cost += memory > engine.memoryTokens ? OverflowCost : 0;
        if (best.endpoint == nullptr || cost < bestCost) {
            bestCost = cost;
            best = {.endpoint = candidate.endpoint, .readMs = readMs, .firstEventMs = firstEventMs};
        }
    }
    best.tokensOnEndpoint = static_cast<std::uint64_t>(request.promptTokens + request.answerTokens);
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
    placement.tokensOnEndpoint = static_cast<std::uint64_t>(needed);
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
    placement.tokensOnHelper = static_cast<std::uint64_t>(part);
    placement.tokensOnEndpoint = static_cast<std::uint64_t>(part + request.answerTokens);
    return fits;
}

Placement placeLong(const EngineModel &engine, const std::vector<PlacementCandidate> &candidates, const PlacementRequest &request)
{
    const double readMs = engine.readMs(request.promptTokens);
    const double worth = std::pow(request.promptTokens / UnitWorthTokens, WorthExponent);
    std::vector<std::pair<double, const PlacementCandidate *>> order;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const PlacementCandidate &candidate = candidates[index];
        const double useMs = candidate.load.readMs * candidate.pace + 1000 * placeCost(candidate) + 60 * candidate.load.shortWriters;
        order.emplace_back(useMs - static_cast<double>(index) * 5, &candidate);
    }
    std::stable_sort(order.begin(), order.end(), [](const auto &left, const auto &right) { return left.first < right.first; });

    Placement best;
    double bestCost = 0;
    for (const std::size_t count : ReaderCounts) {
        if (count > order.size()) {
            break;
        }
        std::vector<const PlacementCandidate *> readers;
        double startMs = 0;
        double pace = 1;
        double cost = HelperCost * static_cast<double>(count);
        for (std::size_t index = 0; index < count; ++index) {
            const PlacementCandidate *reader = order[index].second;
            readers.push_back(reader);
            startMs = std::max(startMs, reader->load.readMs * reader->pace);
            pace = std::max(pace, reader->pace);
            cost += placeCost(*reader);
        }
        Placement placement{.readMs = readMs / static_cast<double>(count), .isLong = true};
        placement.firstEventMs = startMs + placement.readMs * pace + engine.passMs(1, request.promptTokens) * pace;
        cost += distributeMemory(engine, readers, request, placement) ? 0 : ForbiddenCost / 2;
        for (const PlacementCandidate *reader : readers) {
            cost += harm(placement.readMs, reader->load.shortWriters, request.pauseMs / 3);
        }
        cost += worth * (lateness(placement.firstEventMs, request.objectiveMs) + EarlinessCost * placement.firstEventMs / request.objectiveMs);
        if (best.endpoint != nullptr && cost >= bestCost) {
            continue;
        }
        bestCost = cost;
        placement.endpoint = readers.front()->endpoint;
        for (std::size_t index = 1; index < readers.size(); ++index) {
            placement.helpers.push_back(readers[index]->endpoint);
        }
        best = std::move(placement);
    }
    return best;
}

}

Placement placeCall(const std::vector<PlacementCandidate> &candidates, std::uint64_t seed)
{
    Placement best;
    double bestCost = 0;
    for (const PlacementCandidate &candidate : candidates) {
        const double tieBreak = static_cast<double>(stableHash(candidate.endpoint->id.value(), seed) % 1000) / 1000;
        const double cost = placeCost(candidate) + candidate.load.requests * candidate.pace + (candidate.isLocal ? 0 : 0.5) + 0.4 * tieBreak;
        if (best.endpoint == nullptr || cost < bestCost) {
            bestCost = cost;
            best.endpoint = candidate.endpoint;
        }
    }
    return best;
}

Placement placeGeneration(const EngineModel &engine, const std::vector<PlacementCandidate> &candidates, const PlacementRequest &request)
{
    return engine.readMs(request.promptTokens) > LongReadMs ? placeLong(engine, candidates, request) : placeShort(engine, candidates, request);
}

}
