#include "dispatch/retrybudget.h"

#include <algorithm>
#include <chrono>

namespace Lentillock
{

namespace
{

// Limits credit to this multiple of the minimum per window. More would allow a burst of retries after a long period with few failures.
constexpr double MaxCreditFactor = 10;

// A bucket that was unused for this many windows is full again and can be removed.
constexpr int IdleWindowCount = 10;

}

RetryBudget::RetryBudget(const DispatcherSettings &settings)
    : ratio_(settings.retryRatio)
    , workspaceMinimum_(settings.minWorkspaceRetries)
    , fleetMinimum_(settings.minFleetRetries)
    , window_(settings.retryWindow)
{
}

void RetryBudget::requestDispatched(TimePoint now, const WorkspaceId &workspace)
{
    removeIdleBuckets(now);
    deposit(now, workspaceBucket(now, workspace), workspaceMinimum_);
    deposit(now, fleet_, fleetMinimum_);
}

bool RetryBudget::tryWithdraw(TimePoint now, const WorkspaceId &workspace)
{
    removeIdleBuckets(now);
    Bucket &bucket = workspaceBucket(now, workspace);
    refill(now, bucket, workspaceMinimum_);
    refill(now, fleet_, fleetMinimum_);
    if (bucket.credit < 1 || fleet_.credit < 1) {
        return false;
    }
    bucket.credit -= 1;
    fleet_.credit -= 1;
    return true;
}

double RetryBudget::fleetCredit() const
{
    return fleet_.credit;
}

RetryBudget::Bucket RetryBudget::fullBucket(TimePoint now, double minimum) const
{
    return {minimum, 0, now};
}

RetryBudget::Bucket &RetryBudget::workspaceBucket(TimePoint now, const WorkspaceId &workspace)
{
    const auto found = workspaces_.find(workspace);
    if (found != workspaces_.end()) {
        return found->second;
    }
    return workspaces_.emplace(workspace, fullBucket(now, workspaceMinimum_)).first->second;
}

void RetryBudget::refill(TimePoint now, Bucket &bucket, double minimum) const
{
    const double windows = std::chrono::duration<double>(now - bucket.refilledAt) / std::chrono::duration<double>(window_);
    // The minimum is a lower bound and is not added to the credit from requests.
    const double guaranteed = std::max(0.0, windows * minimum - bucket.deposited);
    const double limit = std::max(minimum, bucket.credit);
    bucket.credit = std::min(limit, bucket.credit + guaranteed);
    bucket.deposited = std::max(0.0, bucket.deposited - windows * minimum);
    bucket.refilledAt = now;
}

void RetryBudget::deposit(TimePoint now, Bucket &bucket, double minimum) const
{
    refill(now, bucket, minimum);
    bucket.credit = std::min(minimum * MaxCreditFactor, bucket.credit + ratio_);
    bucket.deposited = std::min(minimum, bucket.deposited + ratio_);
}

void RetryBudget::removeIdleBuckets(TimePoint now)
{
    if (!initialized_) {
        initialized_ = true;
        fleet_ = fullBucket(now, fleetMinimum_);
        lastCleanupAt_ = now;
    }
    const Duration idle = IdleWindowCount * window_;
    if (now - lastCleanupAt_ < idle) {
        return;
    }
    lastCleanupAt_ = now;
    std::erase_if(workspaces_, [&](const auto &item) { return now - item.second.refilledAt >= idle && item.second.credit >= workspaceMinimum_; });
}

}
