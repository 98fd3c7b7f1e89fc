#include "gateway/fleetretrybudget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

namespace Lentillock
{

namespace
{

constexpr std::size_t Vms = 7;

}

// Several VMs that each keep to their share must together keep to the bound of the fleet, in any window.
RC_GTEST_PROP(FleetRetryBudgetTest, SeveralVms_RepeatAtWill_KeepFleetBound, ())
{
    const FleetRetryBudgetSettings settings{.ratio = 0.2, .slack = 102, .window = 10s};
    std::vector<FleetRetryBudget> budgets(Vms, FleetRetryBudget(settings));
    std::deque<TimePoint> requests;
    std::deque<TimePoint> repeats;
    TimePoint now{};
    for (int step = 0; step < 400; ++step) {
        now += milliseconds(*rc::gen::inRange(0, 200));
        const auto vm = *rc::gen::inRange<std::size_t>(0, Vms);
        if (*rc::gen::inRange(0, 3) == 0) {
            budgets[vm].recordRequest("s", now);
            requests.push_back(now);
        } else if (budgets[vm].takeRetry("s", Vms, now)) {
            repeats.push_back(now);
        }
        const auto inWindow = [now](const std::deque<TimePoint> &times) {
            return static_cast<double>(std::count_if(times.begin(), times.end(), [now](TimePoint time) { return time > now - 10s; }));
        };
        // A repeat may draw on requests of the window before, as the users' rule allows.
        const double recent = static_cast<double>(std::count_if(requests.begin(), requests.end(), [now](TimePoint time) { return time > now - 20s; }));
        RC_ASSERT(inWindow(repeats) <= settings.slack + settings.ratio * recent);
    }
}

TEST(FleetRetryBudgetTest, Window_HasPassed_BudgetIsBack)
{
    FleetRetryBudget budget({.ratio = 0, .slack = 2, .window = 10s});
    const TimePoint start{};
    EXPECT_TRUE(budget.takeRetry("s", 1, start));
    EXPECT_FALSE(budget.takeRetry("s", 1, start + 9s));
    EXPECT_TRUE(budget.takeRetry("s", 1, start + 10s));
}

}
