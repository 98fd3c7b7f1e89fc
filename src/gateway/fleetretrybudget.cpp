#include "gateway/fleetretrybudget.h"

#include <algorithm>

namespace Lentillock
{

namespace
{

/// Fraction of the fleet's slack that is divided among the VMs. The rest covers VMs that are not known yet and restarts, which lose the record
/// of retries already taken.
constexpr double SharedFraction = 0.7;

void removeExpired(std::deque<TimePoint> &times, TimePoint windowStart)
{
    while (!times.empty() && times.front() <= windowStart) {
        times.pop_front();
    }
}

}

FleetRetryBudget::FleetRetryBudget(FleetRetryBudgetSettings settings)
    : settings_(settings)
{
}

void FleetRetryBudget::setLimits(FleetRetryBudgetSettings settings)
{
    settings_ = settings;
}

void FleetRetryBudget::recordRequest(const std::string &service, TimePoint now)
{
    currentUsage(service, now).requests.push_back(now);
}

bool FleetRetryBudget::takeRetry(const std::string &service, std::size_t vmCount, TimePoint now)
{
    if (remaining(service, vmCount, now) < 1) {
        return false;
    }
    usages_[service].retries.push_back(now);
    return true;
}

double FleetRetryBudget::remaining(const std::string &service, std::size_t vmCount, TimePoint now)
{
    const Usage &usage = currentUsage(service, now);
    const double share = SharedFraction * settings_.slack / static_cast<double>(std::max<std::size_t>(vmCount, 1));
    return share + settings_.ratio * static_cast<double>(usage.requests.size()) - static_cast<double>(usage.retries.size());
}

FleetRetryBudget::Usage &FleetRetryBudget::currentUsage(const std::string &service, TimePoint now)
{
    Usage &usage = usages_[service];
    removeExpired(usage.requests, now - settings_.window);
    removeExpired(usage.retries, now - settings_.window);
    return usage;
}

}
