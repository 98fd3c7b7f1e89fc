#pragma once

#include "base/identifier.h"
#include "base/time.h"
#include "config/servingdocument.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_set>
#include <vector>

namespace Lentillock
{

/// Demand of one workspace on one VM, as sent to the other VMs.
struct WorkspaceDemand {
    VmId vm;
    WorkspaceId workspace;
    double requestsPerSecond = 0; ///< Rate of incoming requests, including refused ones.
    TimePoint receivedAt; ///< By the receiver's clock.

    bool operator==(const WorkspaceDemand &) const = default;
};

/// Enforces the rate limits of workspaces across all VMs by giving each VM a share of the rate.
///
/// The VMs that see each other share min(1, MaxExcess * visible / known) of a limit, where `known` is the largest number of VMs seen
/// within `VmCountRetention`, and at least the number expected by the settings. The sides of a network partition are disjoint, so together
/// they use at most MaxExcess times the limit, however many sides there are; VMs that first appear during a partition come on top of that.
///
/// The fraction `EqualFraction` of this is divided equally between the VMs, the rest by demand. An increase of a VM's share takes effect after
/// `IncreaseDelay`, a decrease at once, so that the other VMs have lowered their shares first if demand updates arrive within that delay.
class WorkspaceLimits
{
public:
    /// During a network partition the total over all VMs may exceed a limit by at most this factor.
    static constexpr double MaxExcess = 2;

    enum class Sharing {
        ByDemand, ///< VMs exchange their demand; a VM that sends none counts as having no demand.
        Equal, ///< VMs do not exchange their demand, so each one has to assume that the others use their whole shares.
    };

    /// @p expectedVms limits the share of a VM that has not seen the others yet.
    WorkspaceLimits(VmId self, std::size_t expectedVms, Sharing sharing = Sharing::ByDemand);

    /// Sets the number of VMs that the fleet should have.
    void setExpectedVms(std::size_t vms);
    void setWorkspaces(const std::vector<Workspace> &workspaces);
    /// Sets the VMs that this VM sees as alive; it always counts itself.
    void setVms(TimePoint now, const std::vector<VmId> &vms);
    void setDemand(const WorkspaceDemand &demand);

    /// Returns nothing if the request is admitted, else the time after which to retry. Counts the request as demand either way.
    [[nodiscard]] std::optional<Duration> admit(TimePoint now, const WorkspaceId &workspace, std::uint64_t tokens);

    /// Returns this VM's own demand, to be sent to the others. Workspaces without demand are left out; the demand sent earlier expires there.
    [[nodiscard]] std::vector<WorkspaceDemand> ownDemand(TimePoint now) const;

    /// Returns the fraction of the workspace's limits that this VM may use now, from 0 to 1.
    [[nodiscard]] double share(TimePoint now, const WorkspaceId &workspace);

private:
    static constexpr double EqualFraction = 0.2;
    static constexpr Duration DemandLifetime = 10s;
    static constexpr Duration IncreaseDelay = 2s;
    static constexpr Duration ShareUpdateInterval = 100ms; ///< Minimum time between two samples of the share; a decrease is recorded at once.
    static constexpr Duration VmCountRetention = 15min;
    static constexpr Duration DemandHalfLife = 5s;
    static constexpr Duration BurstWindow = 1s; ///< Unused rate accumulates for at most this time.

    /// Token bucket. A single request may make the level negative, so that requests larger than the capacity are possible.
    struct TokenBucket {
        double level = 0;
        TimePoint refilledAt;

        void refill(TimePoint now, double rate);
    };

    struct ShareSample {
        TimePoint at;
        double share = 0;
    };

    struct WorkspaceState {
        Workspace workspace;
        TokenBucket requests;
        TokenBucket tokens;
        double demand = 0; ///< Number of requests, decaying exponentially with DemandHalfLife.
        TimePoint demandAt;
        std::deque<ShareSample> shares; ///< Samples of the last IncreaseDelay; the smallest one is in effect.
        std::map<VmId, WorkspaceDemand> peerDemands;
    };

    struct VmCountSample {
        std::size_t vms = 0;
        TimePoint lastSeen;
    };

    [[nodiscard]] std::size_t largestVmCount(TimePoint now) const;
    [[nodiscard]] double visibleFraction(TimePoint now) const;
    [[nodiscard]] double targetShare(TimePoint now, const WorkspaceState &state) const;
    double effectiveShare(TimePoint now, WorkspaceState &state) const;
    [[nodiscard]] static double demandRate(const WorkspaceState &state, TimePoint now);
    static std::optional<Duration> timeUntilAvailable(const TokenBucket &bucket, double rate);

    VmId self_;
    std::size_t expectedVms_;
    Sharing sharing_;
    std::unordered_set<VmId> vms_;
    std::vector<VmCountSample> vmCounts_; ///< In decreasing order of count and increasing order of time.
    std::map<WorkspaceId, WorkspaceState> workspaces_;
};

}
