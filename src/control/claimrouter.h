#pragma once

#include "control/claimshardtask.h"
#include "control/controlsettings.h"
#include "control/fleetsnapshot.h"
#include "control/peerclient.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Lentillock
{

/// Routes claims and updates to the writer of their shard, either the task in this process or another control process. If a writer fails, the
/// next one is tried.
///
/// Thread-safe.
class ClaimRouter
{
public:
    /// Maximum time for one writer to reply before the next one is tried.
    static constexpr milliseconds ForwardTimeout{2000};

    ClaimRouter(const ControlSettings &settings, ClaimShardTask::LogFactory logFactory, Metrics &metrics);
    ClaimRouter(const ClaimRouter &) = delete;
    ClaimRouter &operator=(const ClaimRouter &) = delete;
    ~ClaimRouter();

    /// Answers all pending and later claims as undecided. Must be called before the gRPC server is destroyed, which waits for its running calls.
    void shutDown();

    /// Chooses the writers from the live VMs of @p fleet, starts the tasks of the shards that this VM writes and stops tasks that are no longer used.
    void setFleet(const FleetSnapshotPtr &fleet);

    void claim(const ClaimProposal &proposal, const ClaimShardTask::ClaimCallback &callback);
    void update(const ClaimUpdate &update, const ClaimShardTask::UpdateCallback &callback);

    /// Like claim() and update(), but without forwarding, for callers that have chosen this VM as the writer.
    void claimLocally(const ClaimProposal &proposal, const ClaimShardTask::ClaimCallback &callback);
    void updateLocally(const ClaimUpdate &update, const ClaimShardTask::UpdateCallback &callback);

    [[nodiscard]] std::map<std::uint32_t, ClaimShardStats> stats() const;

private:
    using ShardTaskPtr = std::shared_ptr<ClaimShardTask>;

    [[nodiscard]] std::uint32_t shardOf(const WorkspaceId &workspace, const IdempotencyKey &key) const;
    /// gRPC addresses of the shard's writers to try before this VM, in reverse order. Empty if this VM is the first writer and after shutDown().
    [[nodiscard]] std::vector<std::string> precedingWriters(std::uint32_t shard) const;
    /// Returns the task of the shard and starts it if needed. Null after shutDown().
    ShardTaskPtr taskFor(std::uint32_t shard);
    void forwardClaim(std::vector<std::string> writers, const ClaimProposal &proposal, const ClaimShardTask::ClaimCallback &callback);
    void forwardUpdate(std::vector<std::string> writers, const ClaimUpdate &update, const ClaimShardTask::UpdateCallback &callback);
    [[nodiscard]] bool isStopping() const;
    /// Requires that the mutex is locked.
    void stopUnusedTasks();

    ControlSettings settings_;
    ClaimShardTask::LogFactory logFactory_;
    Metrics &metrics_;
    mutable std::mutex mutex_;
    FleetSnapshotPtr fleet_;
    std::map<std::uint32_t, ShardTaskPtr> tasks_;
    std::map<std::uint32_t, TimePoint> lastUsed_;
    std::vector<ShardTaskPtr> stoppingTasks_; ///< Tasks that have been asked to stop and are destroyed once they have.
    std::vector<VmId> liveVms_;
    bool stopping_ = false;
    PeerClient peerClient_;
};

}
