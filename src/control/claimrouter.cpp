#include "control/claimrouter.h"

#include "claims/claimwriters.h"

#include <algorithm>
#include <utility>

namespace Lentillock
{

namespace
{

/// Time without use after which the task of a shard that this VM does not write is stopped.
constexpr milliseconds IdleTimeout{60000};

TimePoint currentTime()
{
    return std::chrono::steady_clock::now();
}

milliseconds remainingUntil(TimePoint deadline)
{
    return std::max(milliseconds(1), std::chrono::floor<milliseconds>(deadline - currentTime()));
}

}

ClaimRouter::ClaimRouter(const ControlSettings &settings, ClaimShardTask::LogFactory logFactory, Metrics &metrics)
    : settings_(settings)
    , logFactory_(std::move(logFactory))
    , metrics_(metrics)
    , fleet_(std::make_shared<FleetSnapshot>())
{
}

ClaimRouter::~ClaimRouter()
{
    shutDown();
}

std::uint32_t ClaimRouter::shardOf(const WorkspaceId &workspace, const IdempotencyKey &key) const
{
    return claimShard(workspace, key, static_cast<std::uint32_t>(settings_.claimShards));
}

void ClaimRouter::setFleet(const FleetSnapshotPtr &fleet)
{
    {
        const std::lock_guard lock(mutex_);
        const bool changed = fleet->liveVms != liveVms_;
        fleet_ = fleet;
        liveVms_ = fleet->liveVms;
        stopUnusedTasks();
        if (!changed) {
            return;
        }
    }
    // Start the tasks before the first claim, so that their state machines have caught up with the log by then.
    for (std::uint32_t shard = 0; shard < static_cast<std::uint32_t>(settings_.claimShards); ++shard) {
        const auto writers = claimWriters(shard, fleet->liveVms);
        if (std::ranges::find(writers, settings_.vm) != writers.end()) {
            taskFor(shard);
        }
    }
}

void ClaimRouter::stopUnusedTasks()
{
    for (auto entry = tasks_.begin(); entry != tasks_.end();) {
        const auto writers = claimWriters(entry->first, liveVms_);
        const bool isWriter = std::ranges::find(writers, settings_.vm) != writers.end();
        if (!isWriter && currentTime() - lastUsed_[entry->first] > IdleTimeout) {
            entry->second->requestStop();
            stoppingTasks_.push_back(std::move(entry->second));
            entry = tasks_.erase(entry);
        } else {
            ++entry;
        }
    }
    // The destructor of a task that has not stopped would block this thread until its log calls return.
    std::erase_if(stoppingTasks_, [](const ShardTaskPtr &task) { return task->hasStopped(); });
}

ClaimRouter::ShardTaskPtr ClaimRouter::taskFor(std::uint32_t shard)
{
    const std::lock_guard lock(mutex_);
    if (stopping_) {
        return nullptr;
    }
    lastUsed_[shard] = currentTime();
    ShardTaskPtr &task = tasks_[shard];
    if (task == nullptr) {
        task = std::make_shared<ClaimShardTask>(shard, logFactory_, metrics_);
    }
    return task;
}

void ClaimRouter::shutDown()
{
    std::map<std::uint32_t, ShardTaskPtr> tasks;
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        tasks.swap(tasks_);
    }
    for (const auto &[shard, task] : tasks) {
        task->requestStop();
    }
}

std::vector<std::string> ClaimRouter::precedingWriters(std::uint32_t shard) const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> addresses;
    if (stopping_) {
        return addresses;
    }
    for (const VmId &writer : claimWriters(shard, liveVms_)) {
        if (writer == settings_.vm) {
            break;
        }
        const auto member = std::ranges::find(fleet_->members, writer, &Member::id);
        if (member != fleet_->members.end()) {
            addresses.push_back(member->controlAddress);
        }
    }
    // Writers are tried from the back of the list.
    std::ranges::reverse(addresses);
    return addresses;
}

bool ClaimRouter::isStopping() const
{
    const std::lock_guard lock(mutex_);
    return stopping_;
}

void ClaimRouter::claim(const ClaimProposal &proposal, const ClaimShardTask::ClaimCallback &callback)
{
    forwardClaim(precedingWriters(shardOf(proposal.workspace, proposal.key)), proposal, callback);
}

void ClaimRouter::forwardClaim(std::vector<std::string> writers, const ClaimProposal &proposal, const ClaimShardTask::ClaimCallback &callback)
{
    const milliseconds remaining = remainingUntil(proposal.deadline);
    if (writers.empty() || isStopping()) {
        claimLocally(proposal, callback);
        return;
    }
    const std::string address = std::move(writers.back());
    writers.pop_back();
    // Each attempt takes at most a third of the remaining time, to leave time for two other writers.
    const milliseconds timeout = std::min(ForwardTimeout, remaining / 3);
    peerClient_.forwardClaim(address, proposal, timeout, timeout, [=, this](const std::optional<AnswerClaim> &answer) {
        if (answer && answer->verdict != ClaimDecision::Undecided) {
            callback(*answer);
            return;
        }
        metrics_.increment("lentillock_claim_fallbacks_total");
        forwardClaim(writers, proposal, callback);
    });
}

void ClaimRouter::claimLocally(const ClaimProposal &proposal, const ClaimShardTask::ClaimCallback &callback)
{
    constexpr std::array<const char *, 4> verdictNames{"undecided", "won", "lost", "refused"};
    const ShardTaskPtr task = taskFor(shardOf(proposal.workspace, proposal.key));
    if (task == nullptr) {
        callback({0, ClaimDecision::Undecided, ClaimRunState::Unknown, "the control process is stopping"});
        return;
    }
    task->claim(proposal, [this, verdictNames, callback](const AnswerClaim &answer) {
        metrics_.increment("lentillock_claims_total", {{"verdict", verdictNames.at(static_cast<std::size_t>(answer.verdict))}});
        callback(answer);
    });
}

void ClaimRouter::update(const ClaimUpdate &update, const ClaimShardTask::UpdateCallback &callback)
{
    forwardUpdate(precedingWriters(shardOf(update.record.workspace, update.record.key)), update, callback);
}

void ClaimRouter::forwardUpdate(std::vector<std::string> writers, const ClaimUpdate &update, const ClaimShardTask::UpdateCallback &callback)
{
    if (writers.empty() || isStopping()) {
        updateLocally(update, callback);
        return;
    }
    const std::string address = std::move(writers.back());
    writers.pop_back();
    const milliseconds timeout = std::min(ForwardTimeout, remainingUntil(update.deadline) / 3);
    peerClient_.forwardUpdate(address, update.record, timeout, [=, this](std::optional<bool> recorded) {
        if (recorded.value_or(false)) {
            callback(true);
        } else {
            forwardUpdate(writers, update, callback);
        }
    });
}

void ClaimRouter::updateLocally(const ClaimUpdate &update, const ClaimShardTask::UpdateCallback &callback)
{
    const ShardTaskPtr task = taskFor(shardOf(update.record.workspace, update.record.key));
    if (task == nullptr) {
        callback(false);
        return;
    }
    task->update(update, callback);
}

std::map<std::uint32_t, ClaimShardStats> ClaimRouter::stats() const
{
    const std::lock_guard lock(mutex_);
    std::map<std::uint32_t, ClaimShardStats> stats;
    for (const auto &[shard, task] : tasks_) {
        stats[shard] = task->stats();
    }
    return stats;
}

}
