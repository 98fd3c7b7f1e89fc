#include "gateway/digestcomposer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace Lentillock
{

namespace
{

class DigestComposerTest : public testing::Test
{
protected:
    static constexpr std::size_t DigestsPerRefresh = 10;

    DigestComposerTest()
    {
        for (std::uint32_t endpoint = 1; endpoint <= 100; ++endpoint) {
            sums_[endpoint].requests = endpoint;
        }
    }

    std::vector<EndpointLoadReport> compose()
    {
        return composer_.compose(sums_, DigestsPerRefresh);
    }

    static bool contains(const std::vector<EndpointLoadReport> &report, std::uint32_t endpoint, double requests)
    {
        EndpointLoad load;
        load.requests = requests;
        return std::find(report.begin(), report.end(), EndpointLoadReport{endpoint, load}) != report.end();
    }

    LoadSums sums_;
    DigestComposer composer_;
};

}

TEST_F(DigestComposerTest, SumChanges_IsSentTwice_OthersAreNot)
{
    compose();
    compose();
    sums_[50].requests = 7;
    EXPECT_TRUE(contains(compose(), 50, 7));
    const auto second = compose();
    EXPECT_TRUE(contains(second, 50, 7));
    EXPECT_LE(second.size(), 1 + 100 / DigestsPerRefresh);
}

TEST_F(DigestComposerTest, SumsDoNotChange_AllAreRepeatedWithinOneRefresh)
{
    compose();
    compose();
    std::set<std::uint32_t> repeated;
    for (std::size_t digest = 0; digest < DigestsPerRefresh; ++digest) {
        for (const EndpointLoadReport &entry : compose()) {
            repeated.insert(entry.endpointHash);
        }
    }
    EXPECT_EQ(repeated.size(), sums_.size());
}

TEST_F(DigestComposerTest, PendingPrefillAges_SumIsNotSentAgain)
{
    sums_[50].pendingPrefillMs = 900;
    compose();
    compose();
    std::size_t sends = 0;
    for (std::size_t digest = 0; digest < DigestsPerRefresh; ++digest) {
        sums_[50].oldestPendingPrefillAgeMs += 60;
        for (const EndpointLoadReport &entry : compose()) {
            sends += entry.endpointHash == 50 ? 1 : 0;
        }
    }
    EXPECT_EQ(sends, 1U);
}

TEST_F(DigestComposerTest, SumDisappears_IsReportedAsEmptyTwice_ThenNoMore)
{
    compose();
    compose();
    sums_.erase(50);
    EXPECT_TRUE(contains(compose(), 50, 0));
    EXPECT_TRUE(contains(compose(), 50, 0));
    for (std::size_t digest = 0; digest < 2 * DigestsPerRefresh; ++digest) {
        EXPECT_FALSE(contains(compose(), 50, 0));
    }
}

}
