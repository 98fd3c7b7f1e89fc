#include "retrybackoff.h"

#include <gtest/gtest.h>

namespace Lentillock::Platform
{

// With a longer first delay, VMs whose announcement failed in the first second after the loss of all VMs did not know each other for another
// second.
TEST(RetryBackoffTest, FirstAttemptFails_NextOneFollowsSoon)
{
    RetryBackoff backoff;
    EXPECT_EQ(backoff.nextDelay(), 200ms);
}

TEST(RetryBackoffTest, AttemptsGoOnFailing_DelayGrowsAndIsBounded)
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
