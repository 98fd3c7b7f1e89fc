#include "gateway/fleetretrybudget.h"

#include <algorithm>

namespace Lentillock
{

namespace
{

/// The part of the fleet's slack that is handed out. The rest covers VMs that are not known yet and a restart, which forgets what was used.
constexpr double SharedPart = 0.7;

void dropBefore(std::deque<TimePoint> &times, TimePoint start)
{
    while (!times.empty() && times.front() <= start) {
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

bool FleetRetryBudget::takeRetry(const std::string &service, std::size_t vms, TimePoint now)
{
    if (remaining(service, vms, now) < 1) {
        return false;
    }
    usages_[service].repeats.push_back(now);
    return true;
}

double FleetRetryBudget::remaining(const std::string &service, std::size_t vms, TimePoint now)
{
    const Usage &usage = currentUsage(service, now);
    const double share = SharedPart * settings_.slack / static_cast<double>(std::max<std::size_t>(vms, 1));
    return share + settings_.ratio * static_cast<double>(usage.requests.size()) - static_cast<double>(usage.repeats.size());
}

FleetRetryBudget::Usage &FleetRetryBudget::currentUsage(const std::string &service, TimePoint now)
{
    Usage &usage = usages_[service];
    dropBefore(usage.requests, now - settings_.window);
    dropBefore(usage.repeats, now - settings_.window);
    return usage;
}

}
