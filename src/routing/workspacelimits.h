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

/// What one VM tells the others about a workspace's demand.
struct WorkspaceDemand {
    VmId vm;
    WorkspaceId workspace;
    double requestsPerSecond = 0; ///< As asked for by callers, refused ones included.
    TimePoint receivedAt; ///< On the receiver's clock.

    bool operator==(const WorkspaceDemand &) const = default;
};

/// Enforces the rate limits of workspaces over all VMs by giving each VM a share of the rate.
///
/// The VMs that see each other share min(1, MaxExcess * visible / known) of a limit, where `known` is the largest number of VMs seen
/// within `PartitionMemory`, and at least the number expected by the settings. The sides of a partition are disjoint, so all of them
/// together use at most MaxExcess times the limit, however many sides there are; VMs that first appear during a partition come on top.
/// A part of it (`EqualPart`) is divided equally, the rest by demand. A rise of the share takes effect after `RaiseDelay`, a fall at
/// once, so that the others have lowered theirs first as long as news of demand takes less than that.
class WorkspaceLimits
{
public:
    /// The total over all VMs may exceed a limit by at most this factor while VMs cannot see each other.
    static constexpr double MaxExcess = 2;

    enum class Sharing {
        ByDemand, ///< The VMs tell each other their demand; a VM that tells nothing counts as one without demand.
        Equal, ///< They do not, so each VM has to assume that the others use their parts.
    };

    /// @p expectedVms bounds the share of a VM that has not seen the others yet.
    WorkspaceLimits(VmId self, std::size_t expectedVms, Sharing sharing = Sharing::ByDemand);

    /// The number of VMs that the fleet is meant to have now.
    void setExpectedVms(std::size_t vms);
    void setWorkspaces(const std::vector<Workspace> &workspaces);
    /// The VMs that are alive as seen from here, this one included.
    void setVms(TimePoint now, const std::vector<VmId> &vms);
    void setDemand(const WorkspaceDemand &demand);

    /// Returns nothing when the request may go on; else the time after which to try again. Counts the request as demand.
    [[nodiscard]] std::optional<Duration> admit(TimePoint now, const WorkspaceId &workspace, std::uint64_t tokens);

    /// This VM's own demand, to be told to the others. Workspaces without demand are left out; what was told expires.
    [[nodiscard]] std::vector<WorkspaceDemand> ownDemand(TimePoint now) const;

    /// Part of the workspace's limits that this VM may use now, from 0 to 1.
    [[nodiscard]] double share(TimePoint now, const WorkspaceId &workspace);

private:
    static constexpr double EqualPart = 0.2;
    static constexpr Duration DemandLifetime = 10s;
    static constexpr Duration RaiseDelay = 2s;
    static constexpr Duration ShareInterval = 100ms; ///< Shares are computed this often at most.
    static constexpr Duration PartitionMemory = 15min;
    static constexpr Duration DemandHalfLife = 5s;
    static constexpr Duration Burst = 1s; ///< Unused rate that is kept, as time.

    /// Tokens that come in at a rate. The level may become negative by one request, so that large requests are possible.
    struct Bucket {
        double level = 0;
        TimePoint filledAt;

        void fill(TimePoint now, double rate);
    };

    struct ShareAt {
        TimePoint at;
        double share = 0;
    };

    struct State {
        Workspace workspace;
        Bucket requests;
        Bucket tokens;
        double demand = 0; ///< Requests, decaying.
        TimePoint demandAt;
        std::deque<ShareAt> shares; ///< Of the last RaiseDelay; the least of them is in force.
        std::map<VmId, WorkspaceDemand> others;
    };

    struct CountSeen {
        std::size_t vms = 0;
        TimePoint lastSeen;
    };

    [[nodiscard]] std::size_t knownVms(TimePoint now) const;
    [[nodiscard]] double visiblePart(TimePoint now) const;
    [[nodiscard]] double shareByDemand(TimePoint now, const State &state) const;
    double shareInForce(TimePoint now, State &state) const;
    [[nodiscard]] static double demandRate(const State &state, TimePoint now);
    static std::optional<Duration> timeUntilPositive(const Bucket &bucket, double rate);

    VmId self_;
    std::size_t expectedVms_;
    Sharing sharing_;
    std::unordered_set<VmId> vms_;
    std::vector<CountSeen> counts_; ///< Falling numbers of VMs with rising times at which they were last seen.
    std::map<WorkspaceId, State> states_;
};

}
