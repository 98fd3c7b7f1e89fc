#include "gateway/fleetretrybudget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

namespace Lentillock
{

namespace
{

constexpr std::size_t VmCount = 7;

}

// VMs that each observe their share must together observe the limit of the fleet in any window.
RC_GTEST_PROP(FleetRetryBudgetTest, SeveralVms_RetryWhenPossible_ObserveFleetLimit, ())
{
    const FleetRetryBudgetSettings settings{.ratio = 0.2, .slack = 102, .window = 10s};
    std::vector<FleetRetryBudget> budgets(VmCount, FleetRetryBudget(settings));
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;
    TimePoint now{};
    for (int step = 0; step < 400; ++step) {
        now += milliseconds(*rc::gen::inRange(0, 200));
        const auto vm = *rc::gen::inRange<std::size_t>(0, VmCount);
        if (*rc::gen::inRange(0, 3) == 0) {
            budgets[vm].recordRequest("s", now);
            requests.push_back(now);
        } else if (budgets[vm].takeRetry("s", VmCount, now)) {
            retries.push_back(now);
        }
        const auto inWindow = [now](const std::deque<TimePoint> &times) {
            return static_cast<double>(std::count_if(times.begin(), times.end(), [now](TimePoint time) { return time > now - 10s; }));
        };
        // The limit that the users have set for the fleet lets a retry count against requests of the previous window.
        const double recent = static_cast<double>(std::count_if(requests.begin(), requests.end(), [now](TimePoint time) { return time > now - 20s; }));
        RC_ASSERT(inWindow(retries) <= settings.slack + settings.ratio * recent);
    }
}

TEST(FleetRetryBudgetTest, Window_HasPassed_BudgetIsRestored)
{
    FleetRetryBudget budget({.ratio = 0, .slack = 2, .window = 10s});
    const TimePoint start{};
    EXPECT_TRUE(budget.takeRetry("s", 1, start));
    EXPECT_FALSE(budget.takeRetry("s", 1, start + 9s));
    EXPECT_TRUE(budget.takeRetry("s", 1, start + 10s));
}

}
