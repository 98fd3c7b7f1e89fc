#pragma once

#include "base/identifier.h"
#include "base/time.h"
#include "dispatch/dispatchersettings.h"

#include <unordered_map>

namespace Lentillock
{

/// Limits retries per workspace and for the whole entry with token buckets, so that failures do not multiply the load.
class RetryBudget
{
public:
    explicit RetryBudget(const DispatcherSettings &settings);

    /// Earns the share of a retry that one request is worth.
    void requestDispatched(TimePoint now, const WorkspaceId &workspace);

    /// Takes one retry out of both buckets, or nothing when either is empty.
    bool tryWithdraw(TimePoint now, const WorkspaceId &workspace);

    [[nodiscard]] double fleetCredit() const;

private:
    struct Bucket {
        double credit = 0;
        double deposited = 0; ///< Since refilledAt.
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
