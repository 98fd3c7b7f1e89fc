#pragma once

#include "base/time.h"

#include <deque>
#include <map>
#include <string>

namespace Lentillock
{

/// Limit on the retries of all VMs together; the settings repeatRatio, repeatSlack and repeatWindowSeconds.
struct FleetRetryBudgetSettings {
    double ratio = 0.2; ///< Retries per request.
    double slack = 0; ///< Additional retries per window.
    Duration window = 10s;
};

/// Limits the retries of this VM to its share of the fleet's retry budget, per service and in a sliding window.
class FleetRetryBudget
{
public:
    explicit FleetRetryBudget(FleetRetryBudgetSettings settings);

    /// Changes the limits. Retries that were already taken count against the new ones.
    void setLimits(FleetRetryBudgetSettings settings);

    void recordRequest(const std::string &service, TimePoint now);

    /// Takes one retry if the share of this VM, one of @p vmCount, has one left.
    bool takeRetry(const std::string &service, std::size_t vmCount, TimePoint now);

    /// Retries that remain in the current window.
    [[nodiscard]] double remaining(const std::string &service, std::size_t vmCount, TimePoint now);

private:
    struct Usage {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };

    Usage &currentUsage(const std::string &service, TimePoint now);

    FleetRetryBudgetSettings settings_;
    std::map<std::string, Usage> usages_;
};

}
