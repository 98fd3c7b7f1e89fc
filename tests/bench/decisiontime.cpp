#include "bench/decisiontime.h"

#include "base/hash.h"
#include "routing/expectedfirsttokenpolicy.h"
#include "routing/prefixblocks.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <string>

namespace Lentillock
{

namespace
{

constexpr int Batches = 20;
constexpr int BatchSize = 100;

FleetState makeFleet(std::size_t candidates, TimePoint now)
{
    auto document = std::make_shared<ServingDocument>();
    auto view = std::make_shared<ServingView>();
    for (std::size_t i = 0; i < candidates; ++i) {
        Endpoint endpoint;
        endpoint.id = EndpointId("engine-" + std::to_string(i));
        endpoint.model = ModelId("model");
        endpoint.zone = ZoneId("zone-" + std::to_string(i % 4));
        endpoint.memoryTokens = 400'000;
        document->endpoints.push_back(endpoint);
        const LoadReport load{"1", false, {}, 400'000, 300'000, stableHash(endpoint.id.value()) % 50'000, 5, now - 200ms};
        view->endpoints[endpoint.id] = {endpoint.id, EndpointHealth::Live, load, now - 200ms};
    }
    view->document = document;
    FleetState fleet;
    fleet.setView(view);
    return fleet;
}

RouteRequest makeRequest(std::uint64_t promptTokens, TimePoint now)
{
    RouteRequest request;
    request.model = ModelId("model");
    request.zone = ZoneId("zone-0");
    request.promptTokens = promptTokens;
    request.maxTokens = 200;
    request.arrival = now;
    request.deadline = now + 60s;
    for (std::uint64_t block = 0; block < promptTokens / PrefixBlockTokens; ++block) {
        request.prefixBlocks.push_back(stableHash(std::to_string(block)));
    }
    return request;
}

/// Mean time per call of the fastest batch, since other processes on the machine slow down some batches.
template<typename Function>
double microsecondsPerCall(const Function &function)
{
    double best = std::numeric_limits<double>::infinity();
    for (int batch = 0; batch < Batches; ++batch) {
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < BatchSize; ++i) {
            function(stableHash(std::to_string(i)));
        }
        best = std::min(best, std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count() / BatchSize);
    }
    return best;
}

}

DecisionTime measureDecisionTime(std::size_t candidates, std::uint64_t promptTokens)
{
    const TimePoint now{std::chrono::hours(1)};
    const FleetState fleet = makeFleet(candidates, now);
    const RouteRequest request = makeRequest(promptTokens, now);
    ExpectedFirstTokenPolicy policy({}, {{ZoneId("zone-0"), ZoneId("zone-1"), milliseconds(3), 1}});
    // A tenth of the endpoints have a request in flight.
    for (std::size_t i = 0; i < candidates; i += 10) {
        policy.attemptStarted(now - 100ms, request, EndpointId("engine-" + std::to_string(i)));
    }
    const ModelId model("model");
    const auto all = fleet.candidatesForModel(model);
    DecisionTime time;
    time.candidates = candidates;
    time.choose = microsecondsPerCall([&](std::uint64_t random) { return policy.choose(now, request, all, random).has_value(); });
    time.withCandidates
        = microsecondsPerCall([&](std::uint64_t random) { return policy.choose(now, request, fleet.candidatesForModel(model), random).has_value(); });
    return time;
}

}
