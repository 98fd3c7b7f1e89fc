#include "gateway/viewfreshness.h"

#include <gtest/gtest.h>

namespace Lentillock
{

namespace
{

class ViewFreshnessTest : public testing::Test
{
protected:
    TimePoint now_ = TimePoint(1000s);
    ViewFreshness freshness_{700ms, 1100ms};
};

}

TEST_F(ViewFreshnessTest, Nothing_HasBeenRead_ReadIsDue)
{
    EXPECT_TRUE(freshness_.isReadDue(5, now_));
}

TEST_F(ViewFreshnessTest, Reader_HasRead_ReadsAgainBeforeTheOthers)
{
    freshness_.recordRead(now_);
    EXPECT_FALSE(freshness_.isReadDue(0, now_ + 600ms));
    EXPECT_TRUE(freshness_.isReadDue(0, now_ + 700ms));
    EXPECT_FALSE(freshness_.isReadDue(1, now_ + 1000ms));
    EXPECT_TRUE(freshness_.isReadDue(1, now_ + 1100ms));
}

TEST_F(ViewFreshnessTest, Peer_Confirms_ReadIsNotDue)
{
    freshness_.recordRead(now_);
    freshness_.recordConfirmation(100ms, now_ + 1000ms);
    EXPECT_FALSE(freshness_.isReadDue(1, now_ + 1900ms));
    EXPECT_TRUE(freshness_.isReadDue(1, now_ + 2000ms));
}

TEST_F(ViewFreshnessTest, Peer_KnowsMore_ReadIsDueAtOnce)
{
    freshness_.recordRead(now_);
    freshness_.markOutdated();
    EXPECT_TRUE(freshness_.isReadDue(5, now_));
    freshness_.recordRead(now_);
    EXPECT_FALSE(freshness_.isReadDue(5, now_));
}

// Ages that were handed on from VM to VM lost the time of each report, so a fleet that nobody refreshed believed that it was fresh.
TEST_F(ViewFreshnessTest, TwoVmsConfirmEachOther_AgeOfTheirReadsGrows)
{
    ViewFreshness other{700ms, 1100ms};
    freshness_.recordRead(now_);
    other.recordRead(now_);
    for (int exchange = 0; exchange < 400; ++exchange) {
        const milliseconds own = freshness_.readAge(now_);
        const milliseconds others = other.readAge(now_);
        now_ += 5ms;
        freshness_.recordConfirmation(others, now_);
        other.recordConfirmation(own, now_);
    }
    EXPECT_TRUE(freshness_.isReadDue(1, now_));
}

}
