#include "retrybackoff.h"

#include <gtest/gtest.h>

namespace Lentillock::Platform
{

// Guards against a longer first delay: after the loss of all VMs, those whose announcement failed in the first second did not know each other
// for another second.
TEST(RetryBackoffTest, FirstCallFails_NextOneFollowsSoon)
{
    RetryBackoff backoff;
    EXPECT_EQ(backoff.nextDelay(), 200ms);
}

TEST(RetryBackoffTest, CallsKeepFailing_DelayGrowsAndIsBounded)
{
    RetryBackoff backoff;
    Duration previous = backoff.nextDelay();
    for (int attempt = 0; attempt < 10; ++attempt) {
        const Duration delay = backoff.nextDelay();
        EXPECT_GE(delay, previous);
        EXPECT_LE(delay, 1s);
        previous = delay;
    }
    EXPECT_GT(previous, 200ms);
    backoff.reset();
    EXPECT_EQ(backoff.nextDelay(), 200ms);
}

}
