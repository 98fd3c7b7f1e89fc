#include "gateway/endpointhealth.h"

#include <gtest/gtest.h>

namespace Lentillock
{

namespace
{

const EndpointId Endpoint("e");

class EndpointHealthTest : public testing::Test
{
protected:
    TimePoint now_ = TimePoint(1000s);
    EndpointHealth health_;
};

}

TEST_F(EndpointHealthTest, EndpointFailsRepeatedly_SuspensionDoubles)
{
    health_.recordOutcome(Endpoint, AttemptOutcome::Incomplete, now_);
    EXPECT_TRUE(health_.isSuspended(Endpoint, now_ + 499ms));
    EXPECT_FALSE(health_.isSuspended(Endpoint, now_ + 500ms));
    health_.recordOutcome(Endpoint, AttemptOutcome::NotConnected, now_ + 500ms);
    EXPECT_TRUE(health_.isSuspended(Endpoint, now_ + 1400ms));
}

TEST_F(EndpointHealthTest, FailuresHaveSameCause_CountOnce)
{
    for (int index = 0; index < 10; ++index) {
        health_.recordOutcome(Endpoint, AttemptOutcome::Incomplete, now_);
    }
    EXPECT_FALSE(health_.isSuspended(Endpoint, now_ + 500ms));
}

// Guards against sending requests every 60 ms to an endpoint whose address has been given to another one (incident inc-a29a).
TEST_F(EndpointHealthTest, EndpointIsReplaced_StaysSuspendedUntilRestart)
{
    health_.recordOutcome(Endpoint, AttemptOutcome::Replaced, now_);
    EXPECT_TRUE(health_.isSuspended(Endpoint, now_ + 1h));
    health_.forget(Endpoint);
    EXPECT_FALSE(health_.isSuspended(Endpoint, now_));
}

TEST_F(EndpointHealthTest, EndpointFailsRequests_FailureRateIncreases)
{
    for (int index = 0; index < 20; ++index) {
        health_.recordOutcome(Endpoint, AttemptOutcome::Failed, now_);
    }
    EXPECT_GT(health_.failureRate(Endpoint), 0.9);
    EXPECT_FALSE(health_.isSuspended(Endpoint, now_));
}

TEST_F(EndpointHealthTest, EndpointIsClosed_ReopensWithOneRequest)
{
    health_.recordClosed(Endpoint, 2s, 100ms, now_);
    EXPECT_EQ(health_.closedUntil(Endpoint, now_ + 2s), now_ + 2100ms);
    EXPECT_FALSE(health_.isReopening(Endpoint, now_ + 2s));
    EXPECT_FALSE(health_.closedUntil(Endpoint, now_ + 2100ms));
    EXPECT_TRUE(health_.isReopening(Endpoint, now_ + 2100ms));
    health_.recordOutcome(Endpoint, AttemptOutcome::Completed, now_ + 2200ms);
    EXPECT_FALSE(health_.isReopening(Endpoint, now_ + 2200ms));
}

// A request that was sent before the rejection may be completed after it.
TEST_F(EndpointHealthTest, EarlierRequestCompletes_EndpointStaysClosed)
{
    health_.recordClosed(Endpoint, 2s, 0ms, now_);
    health_.recordOutcome(Endpoint, AttemptOutcome::Completed, now_ + 100ms);
    EXPECT_TRUE(health_.closedUntil(Endpoint, now_ + 1s));
}

TEST_F(EndpointHealthTest, RejectionsOverlap_LatestEndHolds_UntilRestart)
{
    health_.recordClosed(Endpoint, 5s, 0ms, now_);
    health_.recordClosed(Endpoint, 1s, 0ms, now_ + 1s);
    EXPECT_EQ(health_.closedUntil(Endpoint, now_ + 3s), now_ + 5s);
    health_.forget(Endpoint);
    EXPECT_FALSE(health_.closedUntil(Endpoint, now_ + 3s));
}

}
