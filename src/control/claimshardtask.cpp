#include "control/claimshardtask.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <utility>

namespace Lentillock
{

namespace
{

/// Time that a read waits for a new record. Limits how long stopping the task takes.
constexpr milliseconds ReadWait{1000};
constexpr milliseconds ReadTimeout{2500};
constexpr milliseconds AppendTimeout{1000};
/// Pause after a failed log call, to limit the request rate during an outage of the log.
constexpr milliseconds RetryDelay{200};
/// Longest wait for a message, after which the threads check whether to stop.
constexpr milliseconds MaxMailboxWait{100};
constexpr std::size_t MaxRecordsPerRead = 1000;

TimePoint currentTime()
{
    return std::chrono::steady_clock::now();
}

WallTime currentWallTime()
{
    return std::chrono::floor<milliseconds>(std::chrono::system_clock::now());
}

}

ClaimShardTask::ClaimShardTask(std::uint32_t shard, const LogFactory &logFactory, Metrics &metrics)
    : stream_(claimStream(shard))
    , metrics_(metrics)
    , readLog_(logFactory())
    , appendLog_(logFactory())
{
    coordinatorThread_ = std::thread([this] {
        runCoordinator();
        --runningThreads_;
    });
    readerThread_ = std::thread([this] {
        runReader(*readLog_);
        --runningThreads_;
    });
    appenderThread_ = std::thread([this] {
        runAppender(*appendLog_);
        --runningThreads_;
    });
}

ClaimShardTask::~ClaimShardTask()
{
    stopping_ = true;
    readerThread_.join();
    appenderThread_.join();
    coordinatorThread_.join();
    answerPending();
}

void ClaimShardTask::requestStop()
{
    stopping_ = true;
}

bool ClaimShardTask::hasStopped() const
{
    return runningThreads_ == 0;
}

void ClaimShardTask::answerPending()
{
    const AnswerClaim undecided{0, ClaimDecision::Undecided, ClaimRunState::Unknown, "the control process is stopping"};
    for (const Message &message : mailbox_.takeAll()) {
        if (const auto *claimReceived = std::get_if<ClaimReceived>(&message)) {
            claimReceived->callback(undecided);
        } else if (const auto *updateReceived = std::get_if<UpdateReceived>(&message)) {
            updateReceived->callback(false);
        }
    }
    for (const auto &[token, callback] : claimCallbacks_) {
        callback(undecided);
    }
    for (const auto &[token, callback] : updateCallbacks_) {
        callback(false);
    }
}

void ClaimShardTask::claim(ClaimProposal proposal, ClaimCallback callback)
{
    mailbox_.post(ClaimReceived{std::move(proposal), std::move(callback)});
}

void ClaimShardTask::update(ClaimUpdate update, UpdateCallback callback)
{
    mailbox_.post(UpdateReceived{std::move(update), std::move(callback)});
}

ClaimShardStats ClaimShardTask::stats() const
{
    return {nextOffset_, keyCount_, appendCount_};
}

void ClaimShardTask::runCoordinator()
{
    while (!stopping_) {
        const TimePoint latest = currentTime() + MaxMailboxWait;
        auto messages = mailbox_.waitUntil(std::min(coordinator_.nextDue().value_or(latest), latest));
        const TimePoint now = currentTime();
        for (Message &message : messages) {
            perform(std::visit([&](auto &content) { return handle(now, content); }, message));
        }
        perform(coordinator_.advance(now));
        updateStats();
    }
}

ClaimActions ClaimShardTask::handle(TimePoint now, ClaimReceived &message)
{
    message.proposal.token = nextToken_++;
    claimCallbacks_[message.proposal.token] = std::move(message.callback);
    return coordinator_.propose(now, currentWallTime(), message.proposal);
}

ClaimActions ClaimShardTask::handle(TimePoint now, UpdateReceived &message)
{
    message.update.token = nextToken_++;
    updateCallbacks_[message.update.token] = std::move(message.callback);
    return coordinator_.update(now, message.update);
}

ClaimActions ClaimShardTask::handle(TimePoint now, AppendFinished &message)
{
    return coordinator_.appendFinished(now, message.batch, message.result);
}

ClaimActions ClaimShardTask::handle(TimePoint now, ReadFinished &message)
{
    return coordinator_.readFinished(now, message.batch, message.startedAt, message.caughtUp);
}

ClaimActions ClaimShardTask::handle(TimePoint now, RecordsExpired &message)
{
    return coordinator_.recordsExpired(now, message.earliest);
}

void ClaimShardTask::perform(const ClaimActions &actions)
{
    for (const ClaimAction &action : actions) {
        std::visit([this](const auto &content) { performAction(content); }, action);
    }
}

void ClaimShardTask::performAction(const AppendRecords &action)
{
    appendQueue_.post(action);
}

void ClaimShardTask::performAction(const AnswerClaim &action)
{
    auto node = claimCallbacks_.extract(action.token);
    if (!node.empty()) {
        node.mapped()(action);
    }
}

void ClaimShardTask::performAction(const AnswerUpdate &action)
{
    auto node = updateCallbacks_.extract(action.token);
    if (!node.empty()) {
        node.mapped()(action.recorded);
    }
}

void ClaimShardTask::updateStats()
{
    nextOffset_ = coordinator_.nextOffset();
    keyCount_ = coordinator_.stateMachine().keyCount();
}

void ClaimShardTask::runAppender(LogService &log)
{
    while (!stopping_) {
        for (const AppendRecords &request : appendQueue_.waitUntil(currentTime() + MaxMailboxWait)) {
            const AppendResult result = leaf::try_handle_all(
                [&]() -> leaf::result<AppendResult> {
                    BOOST_LEAF_CHECK(log.append(stream_, request.records, AppendTimeout));
                    return AppendResult::Appended;
                },
                [](LogError error) { return error == LogError::Unavailable ? AppendResult::NotAppended : AppendResult::Unknown; },
                [] { return AppendResult::Unknown; });
            constexpr std::array<const char *, 3> names{"appended", "not-appended", "unknown"};
            metrics_.increment("lentillock_claim_appends_total", {{"result", names.at(static_cast<std::size_t>(result))}});
            ++appendCount_;
            if (result == AppendResult::NotAppended) {
                std::this_thread::sleep_for(RetryDelay);
            }
            mailbox_.post(AppendFinished{request.batch, result});
        }
    }
}

void ClaimShardTask::runReader(LogService &log)
{
    std::uint64_t next = ClaimStateMachine::FirstOffset;
    while (!stopping_) {
        if (!readOnce(log, next)) {
            metrics_.increment("lentillock_claim_read_errors_total");
            std::this_thread::sleep_for(RetryDelay);
        }
    }
}

bool ClaimShardTask::readOnce(LogService &log, std::uint64_t &next)
{
    const TimePoint startedAt = currentTime();
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_AUTO(batch, log.read(stream_, next, MaxRecordsPerRead, ReadWait, ReadTimeout));
            next = std::max(next, batch.next);
            const bool caughtUp = batch.records.size() < MaxRecordsPerRead;
            mailbox_.post(ReadFinished{std::move(batch), startedAt, caughtUp});
            return true;
        },
        [&](LogError error, const EarliestOffset &earliest) {
            if (error != LogError::Expired) {
                return false;
            }
            next = earliest.value;
            mailbox_.post(RecordsExpired{earliest.value});
            return true;
        },
        [] { return false; });
}

}
