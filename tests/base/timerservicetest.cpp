#include "base/timerservice.h"

#include <gtest/gtest.h>

#include <vector>

namespace Lentillock
{
namespace
{

class TimerServiceTest : public testing::Test
{
protected:
    TimePoint start_;
    TimerService timers_;
    std::vector<int> fired_;
};

TEST_F(TimerServiceTest, TwoTimers_AreDue_FireInOrderOfTime)
{
    timers_.scheduleOnce(start_ + 20ms, [this](TimePoint) { fired_.push_back(2); });
    timers_.scheduleOnce(start_ + 10ms, [this](TimePoint) { fired_.push_back(1); });
    timers_.advance(start_ + 30ms);
    EXPECT_EQ(fired_, (std::vector{1, 2}));
    EXPECT_EQ(timers_.nextDue(), std::nullopt);
}

// Guards against a burst of catch-up calls after the process was paused.
TEST_F(TimerServiceTest, PeriodicTimer_AfterLongPause_FiresOnce)
{
    timers_.schedulePeriodic(start_ + 10ms, 10ms, [this](TimePoint) { fired_.push_back(1); });
    timers_.advance(start_ + 1000ms);
    EXPECT_EQ(fired_.size(), 1U);
    EXPECT_EQ(timers_.nextDue(), start_ + 1010ms);
}

TEST_F(TimerServiceTest, PeriodicTimer_CancelledInCallback_DoesNotFireAgain)
{
    TimerService::TimerId timerId = 0;
    timerId = timers_.schedulePeriodic(start_, 10ms, [&](TimePoint) {
        fired_.push_back(1);
        timers_.cancel(timerId);
    });
    timers_.advance(start_);
    timers_.advance(start_ + 100ms);
    EXPECT_EQ(fired_.size(), 1U);
}

}
}
