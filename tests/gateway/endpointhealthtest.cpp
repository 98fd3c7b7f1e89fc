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

}
