#include "control/claimrouter.h"

#include "claims/claimwriters.h"

#include <algorithm>
#include <utility>

namespace Lentillock
{

namespace
{

/// A shard that this VM does not write is stopped after this time without use.
constexpr milliseconds IdleLimit{60000};

TimePoint currentTime()
{
    return std::chrono::steady_clock::now();
}

milliseconds remainingUntil(TimePoint deadline)
{
    return std::max(milliseconds(1), std::chrono::floor<milliseconds>(deadline - currentTime()));
}

}

ClaimRouter::ClaimRouter(const ControlSettings &settings, ClaimShardTask::LogFactory makeLog, Metrics &metrics)
    : settings_(settings)
    , makeLog_(std::move(makeLog))
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
        retireUnused();
        if (!changed) {
            return;
        }
    }
    // Started ahead of the first question, so that the fold has caught up by then.
    for (std::uint32_t shard = 0; shard < static_cast<std::uint32_t>(settings_.claimShards); ++shard) {
        const auto writers = claimWriters(shard, fleet->liveVms);
        if (std::ranges::find(writers, settings_.vm) != writers.end()) {
            taskFor(shard);
        }
    }
}

void ClaimRouter::retireUnused()
{
    for (auto entry = tasks_.begin(); entry != tasks_.end();) {
        const auto writers = claimWriters(entry->first, liveVms_);
        const bool isWriter = std::ranges::find(writers, settings_.vm) != writers.end();
        if (!isWriter && currentTime() - lastUsed_[entry->first] > IdleLimit) {
            entry->second->requestStop();
            retired_.push_back(std::move(entry->second));
            entry = tasks_.erase(entry);
        } else {
            ++entry;
        }
    }
    // The destructor of a task that has not stopped would block the caller until the log answers.
    std::erase_if(retired_, [](const ShardTaskPtr &task) { return task->hasStopped(); });
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
        task = std::make_shared<ClaimShardTask>(shard, makeLog_, metrics_);
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

std::vector<std::string> ClaimRouter::otherWriters(std::uint32_t shard) const
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
    // Taken from the back.
    std::ranges::reverse(addresses);
    return addresses;
}

bool ClaimRouter::isStopping() const
{
    const std::lock_guard lock(mutex_);
    return stopping_;
}

void ClaimRouter::claim(const ClaimProposal &question, const ClaimShardTask::ClaimCallback &callback)
{
    forwardClaim(otherWriters(shardOf(question.workspace, question.key)), question, callback);
}

void ClaimRouter::forwardClaim(std::vector<std::string> writers, const ClaimProposal &question, const ClaimShardTask::ClaimCallback &callback)
{
    const milliseconds remaining = remainingUntil(question.deadline);
    if (writers.empty() || isStopping()) {
        claimHere(question, callback);
        return;
    }
    const std::string address = std::move(writers.back());
    writers.pop_back();
    // A writer may keep a third of the time, so that two more can be tried.
    const milliseconds timeout = std::min(ForwardTimeout, remaining / 3);
    peers_.forwardClaim(address, question, timeout, timeout, [=, this](const std::optional<AnswerClaim> &answer) {
        if (answer && answer->verdict != ClaimDecision::Undecided) {
            callback(*answer);
            return;
        }
        metrics_.increment("lentillock_claim_fallbacks_total");
        forwardClaim(writers, question, callback);
    });
}

void ClaimRouter::claimHere(const ClaimProposal &question, const ClaimShardTask::ClaimCallback &callback)
{
    constexpr std::array<const char *, 4> names{"undecided", "won", "lost", "refused"};
    const ShardTaskPtr task = taskFor(shardOf(question.workspace, question.key));
    if (task == nullptr) {
        callback({0, ClaimDecision::Undecided, ClaimRunState::Unknown, "the control process is stopping"});
        return;
    }
    task->ask(question, [this, names, callback](const AnswerClaim &answer) {
        metrics_.increment("lentillock_claims_total", {{"verdict", names.at(static_cast<std::size_t>(answer.verdict))}});
        callback(answer);
    });
}

void ClaimRouter::note(const ClaimUpdate &note, const ClaimShardTask::NoteCallback &callback)
{
    forwardNote(otherWriters(shardOf(note.record.workspace, note.record.key)), note, callback);
}

void ClaimRouter::forwardNote(std::vector<std::string> writers, const ClaimUpdate &note, const ClaimShardTask::NoteCallback &callback)
{
    if (writers.empty() || isStopping()) {
        noteHere(note, callback);
        return;
    }
    const std::string address = std::move(writers.back());
    writers.pop_back();
    const milliseconds timeout = std::min(ForwardTimeout, remainingUntil(note.deadline) / 3);
    peers_.forwardNote(address, note.record, timeout, [=, this](std::optional<bool> recorded) {
        if (recorded.value_or(false)) {
            callback(true);
        } else {
            forwardNote(writers, note, callback);
        }
    });
}

void ClaimRouter::noteHere(const ClaimUpdate &note, const ClaimShardTask::NoteCallback &callback)
{
    const ShardTaskPtr task = taskFor(shardOf(note.record.workspace, note.record.key));
    if (task == nullptr) {
        callback(false);
        return;
    }
    task->note(note, callback);
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
