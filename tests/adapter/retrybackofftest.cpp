#include "retrybackoff.h"

#include <gtest/gtest.h>

namespace Lentillock::Platform
{

// VMs whose announcement failed in the first second after a loss of all VMs did not know each other for one second more.
TEST(RetryBackoffTest, FirstAttemptFails_NextOneFollowsSoon)
{
    RetryBackoff pause;
    EXPECT_EQ(pause.next(), 200ms);
}

TEST(RetryBackoffTest, AttemptsGoOnFailing_PauseGrowsAndIsBounded)
{
    RetryBackoff pause;
    Duration before = pause.next();
    for (int attempt = 0; attempt < 10; ++attempt) {
        const Duration now = pause.next();
        EXPECT_GE(now, before);
        EXPECT_LE(now, 1s);
        before = now;
    }
    EXPECT_GT(before, 200ms);
    pause.reset();
    EXPECT_EQ(pause.next(), 200ms);
}

}
