#include "storeavailability.h"

#include <gtest/gtest.h>

namespace Lentillock::Platform
{

class StoreAvailabilityTest : public testing::Test
{
protected:
    static constexpr Duration UnavailableAfter = 2s;

    const TimePoint start_ = TimePoint(1000s);
    StoreAvailability availability_{UnavailableAfter, start_};

    TimePoint at(Duration time) const
    {
        return start_ + time;
    }

    /// The calls of this VM fail from @p from to @p to, and no VM reads the store meanwhile.
    void failCalls(Duration from, Duration to)
    {
        for (Duration begun = from; begun + 700ms <= to; begun += 900ms) {
            hasReportedOutage_ = availability_.recordFailure(at(begun), false, at(begun + 700ms)) || hasReportedOutage_;
        }
    }

    bool hasReportedOutage_ = false;
};

TEST_F(StoreAvailabilityTest, StoreIsDownForAll_OwnCallSucceeds_OutageEndsThen)
{
    failCalls(1s, 5s);
    EXPECT_TRUE(hasReportedOutage_);
    EXPECT_EQ(availability_.recordResponse(at(5s)), (StoreRecovery{.at = at(5s), .wasDownForAll = true}));
    EXPECT_FALSE(availability_.recordResponse(at(6s)));
}

// Guards against removals that were deferred minutes after an outage: a VM that does not read the store itself took its next read for the end of it.
TEST_F(StoreAvailabilityTest, StoreIsDownForAll_AnotherVmReads_OutageEndsThen)
{
    failCalls(1s, 5s);
    EXPECT_EQ(availability_.recordPeerRead(at(5200ms)), (StoreRecovery{.at = at(5200ms), .wasDownForAll = true}));
    EXPECT_FALSE(availability_.recordPeerRead(at(5900ms)));
    EXPECT_FALSE(availability_.recordResponse(at(200s)));
}

TEST_F(StoreAvailabilityTest, StoreIsDownForAll_ReadBeforeTheLastFailureIsReportedLate_OutageGoesOn)
{
    failCalls(1s, 5s);
    EXPECT_FALSE(availability_.recordPeerRead(at(900ms)));
    EXPECT_TRUE(availability_.recordResponse(at(5s)));
}

// Guards against an outage that is seen in one failed call: a VM that leaves reading to another one has no recent response of its own.
TEST_F(StoreAvailabilityTest, OtherVmsReadForLong_OneOwnCallFails_StoreIsAvailable)
{
    EXPECT_FALSE(availability_.recordPeerRead(at(299s)));
    EXPECT_FALSE(availability_.recordFailure(at(300s), false, at(300700ms)));
    EXPECT_FALSE(availability_.recordResponse(at(301s)));
}

TEST_F(StoreAvailabilityTest, OtherVmsReadForLong_StoreFailsForAll_OutageIsSeenAsSoonAsByAReader)
{
    EXPECT_FALSE(availability_.recordPeerRead(at(299s)));
    EXPECT_FALSE(availability_.recordFailure(at(300s), false, at(300700ms)));
    EXPECT_TRUE(availability_.recordFailure(at(300900ms), false, at(301600ms)));
}

TEST_F(StoreAvailabilityTest, OnlyThisVmIsCutOff_OtherVmsRead_RecoveryIsItsOwnResponse)
{
    EXPECT_FALSE(availability_.recordFailure(at(1s), true, at(1700ms)));
    EXPECT_FALSE(availability_.recordPeerRead(at(2s)));
    EXPECT_TRUE(availability_.recordFailure(at(3s), true, at(3700ms)));
    EXPECT_FALSE(availability_.recordPeerRead(at(4s)));
    EXPECT_EQ(availability_.recordResponse(at(5s)), (StoreRecovery{.at = at(5s), .wasDownForAll = false}));
}

TEST_F(StoreAvailabilityTest, OutageEndsAndAnotherBegins_EachEndIsReportedOnce)
{
    failCalls(1s, 5s);
    EXPECT_TRUE(availability_.recordPeerRead(at(5s)));
    hasReportedOutage_ = false;
    failCalls(6s, 11s);
    EXPECT_TRUE(hasReportedOutage_);
    EXPECT_EQ(availability_.recordPeerRead(at(11s)), (StoreRecovery{.at = at(11s), .wasDownForAll = true}));
}

}
