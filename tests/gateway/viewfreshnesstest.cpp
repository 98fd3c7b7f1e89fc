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
    /// A VM that is neither the first reader of the fleet nor of its group.
    static constexpr ReaderRank Backup{.inFleet = 3, .inGroup = 2};

    ViewFreshness freshness_{700ms, 1100ms, 250ms};
};

}

TEST_F(ViewFreshnessTest, StoreHasNotBeenRead_ReadIsDue)
{
    EXPECT_TRUE(freshness_.isReadDue({5, 5}, now_));
}

TEST_F(ViewFreshnessTest, StoreHasBeenRead_Rank0ReadsFirst)
{
    freshness_.recordRead(now_);
    EXPECT_FALSE(freshness_.isReadDue({0, 0}, now_ + 600ms));
    EXPECT_TRUE(freshness_.isReadDue({0, 0}, now_ + 700ms));
    EXPECT_FALSE(freshness_.isReadDue({1, 1}, now_ + 1000ms));
    EXPECT_TRUE(freshness_.isReadDue({1, 1}, now_ + 1100ms));
}

TEST_F(ViewFreshnessTest, PeerConfirmsView_ReadIsNotDue)
{
    freshness_.recordRead(now_);
    freshness_.recordConfirmation(100ms, now_ + 1000ms);
    EXPECT_FALSE(freshness_.isReadDue({1, 1}, now_ + 1900ms));
    EXPECT_TRUE(freshness_.isReadDue({1, 1}, now_ + 2000ms));
}

TEST_F(ViewFreshnessTest, PeerHasNewerView_ReadIsDueImmediately)
{
    freshness_.recordRead(now_);
    freshness_.markOutdated(now_);
    EXPECT_TRUE(freshness_.isReadDue({.inFleet = 5, .inGroup = 0}, now_));
    freshness_.recordRead(now_);
    EXPECT_FALSE(freshness_.isReadDue({5, 5}, now_));
}

// Guards against reads of the store by all VMs whenever one of them has read a change.
TEST_F(ViewFreshnessTest, PeerHasNewerView_OthersOfGroup_WaitForUpdate)
{
    freshness_.recordRead(now_);
    freshness_.markOutdated(now_);
    EXPECT_FALSE(freshness_.isReadDue(Backup, now_ + 300ms));
    freshness_.markOutdated(now_ + 300ms);
    EXPECT_TRUE(freshness_.isReadDue(Backup, now_ + 350ms));
    freshness_.recordUpdate(now_ + 350ms);
    EXPECT_FALSE(freshness_.isReadDue(Backup, now_ + 1000ms));
}

TEST_F(ViewFreshnessTest, NoUpdatesAreSent_PeerHasNewerView_ReadIsDueImmediately)
{
    ViewFreshness plan{0ms, 1300ms, 0ms};
    plan.recordRead(now_);
    plan.markOutdated(now_);
    EXPECT_TRUE(plan.isReadDue(Backup, now_));
}

// Guards against ages that are passed from VM to VM: they lack the transmission time of each report, so a fleet in which no VM read the
// store would consider its view fresh.
TEST_F(ViewFreshnessTest, TwoVmsConfirmEachOther_AgeOfTheirReadsGrows)
{
    ViewFreshness other{700ms, 1100ms, 250ms};
    freshness_.recordRead(now_);
    other.recordRead(now_);
    for (int exchange = 0; exchange < 400; ++exchange) {
        const milliseconds own = freshness_.readAge(now_);
        const milliseconds peers = other.readAge(now_);
        now_ += 5ms;
        freshness_.recordConfirmation(peers, now_);
        other.recordConfirmation(own, now_);
    }
    EXPECT_TRUE(freshness_.isReadDue({1, 1}, now_));
}

}
