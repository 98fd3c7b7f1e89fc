#pragma once

#include "base/identifier.h"
#include "base/time.h"
#include "dispatch/dispatchersettings.h"

#include <unordered_map>

namespace Lentillock
{

/// Limits retries per workspace and for the whole entry process with token buckets, so that failures do not multiply the load.
class RetryBudget
{
public:
    explicit RetryBudget(const DispatcherSettings &settings);

    /// Deposits the credit that one dispatched request earns.
    void requestDispatched(TimePoint now, const WorkspaceId &workspace);

    /// Withdraws one retry from both buckets. Returns false and withdraws nothing if either bucket has less than one retry.
    bool tryWithdraw(TimePoint now, const WorkspaceId &workspace);

    [[nodiscard]] double fleetCredit() const;

private:
    struct Bucket {
        double credit = 0;
        double deposited = 0; ///< Credit from requests that has not yet been offset against the guaranteed minimum.
        TimePoint refilledAt;
    };

    [[nodiscard]] Bucket fullBucket(TimePoint now, double minimum) const;
    Bucket &workspaceBucket(TimePoint now, const WorkspaceId &workspace);
    void refill(TimePoint now, Bucket &bucket, double minimum) const;
    void deposit(TimePoint now, Bucket &bucket, double minimum) const;
    void removeIdleBuckets(TimePoint now);

    double ratio_;
    double workspaceMinimum_;
    double fleetMinimum_;
    Duration window_;
    Bucket fleet_;
    bool initialized_ = false;
    TimePoint lastCleanupAt_;
    std::unordered_map<WorkspaceId, Bucket> workspaces_;
};

}
