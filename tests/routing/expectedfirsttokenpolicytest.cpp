#include "routing/expectedfirsttokenpolicy.h"

#include "base/hash.h"
#include "routing/fleetbuilder.h"
#include "routing/prefixblocks.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace Lentillock
{
namespace
{

class ExpectedFirstTokenPolicyTest : public testing::Test
{
protected:
    RouteRequest request(std::uint64_t promptTokens) const
    {
        RouteRequest request;
        request.model = ModelId("model");
        request.zone = ZoneId("zone-0");
        request.promptTokens = promptTokens;
        request.maxTokens = 100;
        request.arrival = now_;
        request.deadline = now_ + 100s;
        return request;
    }

    /// Number of requests for each endpoint when @p routers policies with the same view each route one request.
    std::map<EndpointId, std::size_t> picks(std::size_t routers, const FleetState &fleet, const RouteRequest &routed) const
    {
        std::map<EndpointId, std::size_t> counts;
        const auto candidates = fleet.candidatesForModel(ModelId("model"));
        for (std::size_t router = 0; router < routers; ++router) {
            const ExpectedFirstTokenPolicy policy({}, {});
            if (const auto choice = policy.choose(now_, routed, candidates, stableHash(std::to_string(router)))) {
                ++counts[choice->endpoint];
            }
        }
        return counts;
    }

    FleetState oneIdle(std::size_t endpoints, std::size_t idle) const
    {
        FleetBuilder builder(endpoints, now_ - 300ms);
        for (std::size_t i = 0; i < endpoints; ++i) {
            builder.load(i).queuedTokens = i == idle ? 0 : 20'000;
        }
        return builder.build();
    }

    static std::size_t largest(const std::map<EndpointId, std::size_t> &counts)
    {
        std::size_t largest = 0;
        for (const auto &[endpoint, count] : counts) {
            largest = std::max(largest, count);
        }
        return largest;
    }

    TimePoint now_{std::chrono::hours(1)};
};

// Guards against herding: policies with the same stale view must not all choose the endpoint that looks idle.
TEST_F(ExpectedFirstTokenPolicyTest, SevenRouters_OneEndpointLooksIdle_DoNotAllPickIt)
{
    const auto counts = picks(7, oneIdle(14, 11), request(2'000));
    EXPECT_LE(largest(counts), 5U);
    EXPECT_GE(counts.size(), 3U);
}

// Guards against herding at the fleet size that the system is designed for.
TEST_F(ExpectedFirstTokenPolicyTest, ManyRouters_OneEndpointLooksIdle_SpreadOverTheFleet)
{
    const auto counts = picks(810, oneIdle(300, 299), request(2'000));
    EXPECT_LE(largest(counts), 60U);
    EXPECT_GE(counts.size(), 100U);
}

// Guards against delaying work of a class that has no endpoint of its own because there are fewer endpoints than classes.
TEST_F(ExpectedFirstTokenPolicyTest, SingleEndpoint_TakesWorkOfAnyLength)
{
    const FleetState fleet = FleetBuilder(1, now_ - 300ms).build();
    const ExpectedFirstTokenPolicy policy({}, {});
    for (const std::uint64_t tokens : {1'000U, 20'000U, 300'000U}) {
        EXPECT_TRUE(policy.choose(now_, request(tokens), fleet.candidatesForModel(ModelId("model")), 1).has_value()) << tokens;
    }
}

// Guards against choosing a failed endpoint because its last report, from before the failure, shows it idle.
TEST_F(ExpectedFirstTokenPolicyTest, EndpointFailed_ReportIsOlder_GetsNoWork)
{
    FleetBuilder builder(3, now_ - 300ms);
    builder.load(1).queuedTokens = 400'000;
    builder.load(2).queuedTokens = 400'000;
    const FleetState fleet = builder.build();
    ExpectedFirstTokenPolicy policy({}, {});
    policy.endpointFailed(now_ - 100ms, FleetBuilder::id(0));
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        const auto choice = policy.choose(now_, request(2'000), fleet.candidatesForModel(ModelId("model")), stableHash(std::to_string(seed)));
        ASSERT_TRUE(choice.has_value());
        EXPECT_NE(choice->endpoint, FleetBuilder::id(0));
    }
}

// Guards against sending all work to an endpoint that has stopped reporting because its last report shows it idle.
TEST_F(ExpectedFirstTokenPolicyTest, ReportIsMuchOlderThanOthers_LooksIdle_DoesNotAttractWork)
{
    FleetBuilder builder(14, now_ - 300ms);
    for (std::size_t i = 0; i < 14; ++i) {
        builder.load(i).queuedTokens = 10'000;
    }
    // This endpoint is reserved for short work.
    builder.load(11).queuedTokens = 0;
    builder.load(11).measuredAt = now_ - 20s;
    const auto counts = picks(100, builder.build(), request(2'000));
    EXPECT_EQ(counts.count(FleetBuilder::id(11)), 0U);
}

// Guards against overloading one endpoint with requests that its load report does not show yet.
TEST_F(ExpectedFirstTokenPolicyTest, OwnWorkSinceTheReport_CountsAsLoad)
{
    FleetBuilder builder(3, now_ - 300ms);
    FleetState fleet = builder.build();
    ExpectedFirstTokenPolicy policy({}, {});
    // Endpoint 2 is reserved for short work.
    fleet.attemptStarted(AttemptId("a"), FleetBuilder::id(2), 300'000, 100);
    policy.attemptStarted(now_ - 100ms, request(300'000), FleetBuilder::id(2));
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        const auto choice = policy.choose(now_, request(2'000), fleet.candidatesForModel(ModelId("model")), stableHash(std::to_string(seed)));
        ASSERT_TRUE(choice.has_value());
        EXPECT_NE(choice->endpoint, FleetBuilder::id(2));
    }
}

// Guards against starvation of long requests: they wait for memory, but only for part of their time.
TEST_F(ExpectedFirstTokenPolicyTest, LongRequest_NoEngineHasMemory_IsHeldOnlyForPartOfItsTime)
{
    FleetBuilder builder(6, now_ - 300ms);
    for (std::size_t i = 0; i < 6; ++i) {
        builder.load(i).freeTokens = 50'000;
    }
    const FleetState fleet = builder.build();
    const ExpectedFirstTokenPolicy policy({}, {});
    RouteRequest routed = request(200'000);
    EXPECT_FALSE(policy.choose(now_, routed, fleet.candidatesForModel(ModelId("model")), 1).has_value());
    routed.arrival = now_ - 60s;
    routed.deadline = now_ + 40s;
    EXPECT_TRUE(policy.choose(now_, routed, fleet.candidatesForModel(ModelId("model")), 1).has_value());
}

// Guards against expecting prefix reuse between workspaces of different sharing groups.
TEST_F(ExpectedFirstTokenPolicyTest, SamePromptOfAnotherSharingGroup_ExpectsNoReuse)
{
    const std::string prompt(50 * PrefixBlockBytes, 'x');
    const FleetState fleet = FleetBuilder(1, now_ - 300ms).build();
    ExpectedFirstTokenPolicy policy({}, {});
    RouteRequest routed = request(25'600);
    routed.prefixBlocks = prefixBlockHashes(prompt, "group-a");
    policy.attemptStarted(now_ - 10s, routed, FleetBuilder::id(0));
    const auto candidates = fleet.candidatesForModel(ModelId("model"));
    const auto sameGroup = policy.choose(now_, routed, candidates, 1);
    routed.prefixBlocks = prefixBlockHashes(prompt, "group-b");
    const auto otherGroup = policy.choose(now_, routed, candidates, 1);
    routed.prefixBlocks.clear();
    const auto noPrefix = policy.choose(now_, routed, candidates, 1);
    ASSERT_TRUE(sameGroup && otherGroup && noPrefix);
    EXPECT_LT(sameGroup->expectedFirstToken, noPrefix->expectedFirstToken / 4);
    EXPECT_EQ(otherGroup->expectedFirstToken, noPrefix->expectedFirstToken);
}

// Guards against using the links of an old document, and against losing learnt prefixes when the document changes.
TEST_F(ExpectedFirstTokenPolicyTest, DocumentChanged_LinksAreReplaced_LearntPrefixesStay)
{
    FleetBuilder builder(1, now_ - 300ms);
    const FleetState fleet = builder.build();
    const auto candidates = fleet.candidatesForModel(ModelId("model"));
    RouteRequest routed = request(25'600);
    routed.zone = ZoneId("zone-far");
    routed.prefixBlocks = prefixBlockHashes(std::string(50 * PrefixBlockBytes, 'x'), "group-a");
    ExpectedFirstTokenPolicy policy({}, {{ZoneId("zone-far"), ZoneId("zone-0"), 1000ms, 0}});
    const auto unlearnt = policy.choose(now_, routed, candidates, 1);
    policy.attemptStarted(now_ - 10s, routed, FleetBuilder::id(0));
    const auto learnt = policy.choose(now_, routed, candidates, 1);
    ServingDocument document;
    document.links = {{ZoneId("zone-far"), ZoneId("zone-0"), 3000ms, 0}};
    policy.documentChanged(document);
    const auto changed = policy.choose(now_, routed, candidates, 1);
    ASSERT_TRUE(unlearnt && learnt && changed);
    EXPECT_LT(learnt->expectedFirstToken, unlearnt->expectedFirstToken);
    EXPECT_NEAR(std::chrono::duration<double>(changed->expectedFirstToken - learnt->expectedFirstToken).count(), 4.0, 1e-3);
}

}
}
