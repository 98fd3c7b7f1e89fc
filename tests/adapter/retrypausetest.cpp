#include "retrypause.h"

#include <gtest/gtest.h>

namespace Lentillock::Platform
{

// VMs whose announcement failed in the first second after a loss of all VMs did not know each other for one second more.
TEST(RetryPauseTest, FirstAttemptFails_NextOneFollowsSoon)
{
    RetryPause pause;
    EXPECT_EQ(pause.next(), 200ms);
}

TEST(RetryPauseTest, AttemptsGoOnFailing_PauseGrowsAndIsBounded)
{
    RetryPause pause;
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
