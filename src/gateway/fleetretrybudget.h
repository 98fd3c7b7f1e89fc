#pragma once

#include "base/time.h"

#include <deque>
#include <map>
#include <string>

namespace Lentillock
{

/// Bound on the sends beyond the first of each request, for all VMs together.
struct FleetRetryBudgetSettings {
    double ratio = 0.2; ///< Repeats for each request.
    double slack = 0; ///< Repeats in one window besides.
    Duration window = 10s;
};

/// Limits this VM to its share of the fleet's repeats at each service, in a sliding window.
class FleetRetryBudget
{
public:
    explicit FleetRetryBudget(FleetRetryBudgetSettings settings);

    /// What has been used counts against the new limits.
    void setLimits(FleetRetryBudgetSettings settings);

    void recordRequest(const std::string &service, TimePoint now);

    /// Takes one repeat if the share of one of @p vms VMs still holds one.
    bool takeRetry(const std::string &service, std::size_t vms, TimePoint now);

    /// Repeats that are left in the current window.
    [[nodiscard]] double remaining(const std::string &service, std::size_t vms, TimePoint now);

private:
    struct Usage {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> repeats;
    };

    Usage &currentUsage(const std::string &service, TimePoint now);

    FleetRetryBudgetSettings settings_;
    std::map<std::string, Usage> usages_;
};

}
