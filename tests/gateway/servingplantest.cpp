#include "gateway/servingplan.h"

#include <gtest/gtest.h>

namespace Lentillock
{

namespace
{

class ServingPlanTest : public testing::Test
{
protected:
    static RouteEntry route(const std::string &name, const std::string &prefix)
    {
        RouteEntry entry;
        entry.name = name;
        entry.host = "h";
        entry.pathPrefix = prefix;
        return entry;
    }

    static ServingPlan plan()
    {
        ServingPlanParts parts;
        parts.version = 7;
        parts.routes = {route("short", "/a/"), route("long", "/a/b/")};
        parts.workspaces = {{.name = WorkspaceId("w1"), .apiKeys = {"k1", "k2"}}, {.name = WorkspaceId("w2"), .apiKeys = {"k3"}}};
        return ServingPlan(std::move(parts));
    }
};

}

TEST_F(ServingPlanTest, Path_MatchesTwoPrefixes_LongestIsUsed)
{
    EXPECT_EQ(plan().route("h", "/a/b/c")->name, "long");
    EXPECT_EQ(plan().route("h", "/a/c")->name, "short");
}

TEST_F(ServingPlanTest, Path_MatchesNoPrefix_HasNoRoute)
{
    EXPECT_EQ(plan().route("h", "/ab"), nullptr);
    EXPECT_EQ(plan().route("other", "/a/"), nullptr);
}

TEST_F(ServingPlanTest, ApiKey_IsLookedUp_WorkspaceIsFound)
{
    const ServingPlan current = plan();
    ASSERT_NE(current.workspace("k3"), nullptr);
    EXPECT_EQ(current.workspace("k3")->name, WorkspaceId("w2"));
    EXPECT_EQ(current.workspace("k4"), nullptr);
}

// By the published figures, the prefill of 154,000 tokens takes 870 ms plus 2.18 s of attention on one engine.
TEST(EngineModelTest, LongPrompt_IsPrefilled_TimeIncludesAttention)
{
    EngineModel engine;
    engine.prefillTokensPerMs = 177;
    engine.attentionMsPerMillionPairs = 0.184;
    EXPECT_NEAR(engine.prefillMs(154000), 3052, 5);
    EXPECT_NEAR(engine.prefillMs(4960), 30.3, 0.5);
}

}
