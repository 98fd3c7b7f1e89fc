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

/// Brings claims and notes to the writer of their shard: this VM's own task or another control process, the next writer if that one fails.
///
/// Safe to use from several threads.
class ClaimRouter
{
public:
    /// Time for one writer to answer before the next one is tried.
    static constexpr milliseconds ForwardTimeout{2000};

    ClaimRouter(const ControlSettings &settings, ClaimShardTask::LogFactory makeLog, Metrics &metrics);
    ClaimRouter(const ClaimRouter &) = delete;
    ClaimRouter &operator=(const ClaimRouter &) = delete;
    ~ClaimRouter();

    /// Answers all open and later claims as undecided. To be called before the gRPC server is destroyed, which waits for its calls.
    void shutDown();

    /// Chooses the writers from the live VMs of @p fleet, starts the shards that this VM writes and stops those it no longer does.
    void setFleet(const FleetSnapshotPtr &fleet);

    void claim(const ClaimProposal &question, const ClaimShardTask::ClaimCallback &callback);
    void note(const ClaimUpdate &note, const ClaimShardTask::NoteCallback &callback);

    /// Decides in this process, for callers that have chosen this VM as the writer.
    void claimHere(const ClaimProposal &question, const ClaimShardTask::ClaimCallback &callback);
    void noteHere(const ClaimUpdate &note, const ClaimShardTask::NoteCallback &callback);

    [[nodiscard]] std::map<std::uint32_t, ClaimShardStats> stats() const;

private:
    using ShardTaskPtr = std::shared_ptr<ClaimShardTask>;

    [[nodiscard]] std::uint32_t shardOf(const WorkspaceId &workspace, const IdempotencyKey &key) const;
    /// gRPC addresses of the shard's writers before this VM; empty if this VM is to decide.
    [[nodiscard]] std::vector<std::string> otherWriters(std::uint32_t shard) const;
    /// Null while the router shuts down.
    ShardTaskPtr taskFor(std::uint32_t shard);
    void forwardClaim(std::vector<std::string> writers, const ClaimProposal &question, const ClaimShardTask::ClaimCallback &callback);
    void forwardNote(std::vector<std::string> writers, const ClaimUpdate &note, const ClaimShardTask::NoteCallback &callback);
    [[nodiscard]] bool isStopping() const;
    /// Requires the lock.
    void retireUnused();

    ControlSettings settings_;
    ClaimShardTask::LogFactory makeLog_;
    Metrics &metrics_;
    mutable std::mutex mutex_;
    FleetSnapshotPtr fleet_;
    std::map<std::uint32_t, ShardTaskPtr> tasks_;
    std::map<std::uint32_t, TimePoint> lastUsed_;
    std::vector<ShardTaskPtr> retired_; ///< Tasks that end without anyone waiting for them.
    std::vector<VmId> liveVms_;
    bool stopping_ = false;
    PeerClient peers_;
};

}
