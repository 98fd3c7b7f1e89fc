#include "control/claimshardtask.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <utility>

namespace Lentillock
{

namespace
{

/// The reader waits this long for a record; bounds how long a stop of the task takes.
constexpr milliseconds ReadWait{1000};
constexpr milliseconds ReadTimeout{2500};
constexpr milliseconds AppendTimeout{1000};
/// Pause after a failed read, so that an outage of the log does not cause a storm of requests.
constexpr milliseconds RetryDelay{200};
constexpr milliseconds MaxSleep{100};
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

ClaimShardTask::ClaimShardTask(std::uint32_t shard, const LogFactory &makeLog, Metrics &metrics)
    : stream_(claimStream(shard))
    , metrics_(metrics)
    , readLog_(makeLog())
    , appendLog_(makeLog())
{
    owner_ = std::thread([this] {
        run();
        --runningThreads_;
    });
    reader_ = std::thread([this] {
        runReader(*readLog_);
        --runningThreads_;
    });
    appender_ = std::thread([this] {
        runAppender(*appendLog_);
        --runningThreads_;
    });
}

ClaimShardTask::~ClaimShardTask()
{
    stopping_ = true;
    reader_.join();
    appender_.join();
    owner_.join();
    answerUnhandled();
}

void ClaimShardTask::requestStop()
{
    stopping_ = true;
}

bool ClaimShardTask::hasStopped() const
{
    return runningThreads_ == 0;
}

void ClaimShardTask::answerUnhandled()
{
    const AnswerClaim undecided{0, ClaimDecision::Undecided, ClaimRunState::Unknown, "the control process is stopping"};
    for (const Message &message : mailbox_.takeAll()) {
        if (const auto *asked = std::get_if<Asked>(&message)) {
            asked->callback(undecided);
        } else if (const auto *noted = std::get_if<Noted>(&message)) {
            noted->callback(false);
        }
    }
    for (const auto &[token, callback] : claims_) {
        callback(undecided);
    }
    for (const auto &[token, callback] : notes_) {
        callback(false);
    }
}

void ClaimShardTask::ask(ClaimProposal question, ClaimCallback callback)
{
    mailbox_.post(Asked{std::move(question), std::move(callback)});
}

void ClaimShardTask::note(ClaimUpdate note, NoteCallback callback)
{
    mailbox_.post(Noted{std::move(note), std::move(callback)});
}

ClaimShardStats ClaimShardTask::stats() const
{
    return {offset_, keys_, appendCount_};
}

void ClaimShardTask::run()
{
    while (!stopping_) {
        const TimePoint latest = currentTime() + MaxSleep;
        auto messages = mailbox_.waitUntil(std::min(coordinator_.nextDue().value_or(latest), latest));
        const TimePoint now = currentTime();
        for (Message &message : messages) {
            perform(std::visit([&](auto &content) { return handle(now, content); }, message));
        }
        perform(coordinator_.advance(now));
        updateStats();
    }
}

ClaimActions ClaimShardTask::handle(TimePoint now, Asked &message)
{
    message.question.token = nextToken_++;
    claims_[message.question.token] = std::move(message.callback);
    return coordinator_.propose(now, currentWallTime(), message.question);
}

ClaimActions ClaimShardTask::handle(TimePoint now, Noted &message)
{
    message.note.token = nextToken_++;
    notes_[message.note.token] = std::move(message.callback);
    return coordinator_.update(now, message.note);
}

ClaimActions ClaimShardTask::handle(TimePoint now, Appended &message)
{
    return coordinator_.appendFinished(now, message.batch, message.result);
}

ClaimActions ClaimShardTask::handle(TimePoint now, Read &message)
{
    return coordinator_.readFinished(now, message.batch, message.startedAt, message.caughtUp);
}

ClaimActions ClaimShardTask::handle(TimePoint now, Expired &message)
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
    appends_.post(action);
}

void ClaimShardTask::performAction(const AnswerClaim &action)
{
    auto node = claims_.extract(action.token);
    if (!node.empty()) {
        node.mapped()(action);
    }
}

void ClaimShardTask::performAction(const AnswerUpdate &action)
{
    auto node = notes_.extract(action.token);
    if (!node.empty()) {
        node.mapped()(action.recorded);
    }
}

void ClaimShardTask::updateStats()
{
    offset_ = coordinator_.nextOffset();
    keys_ = coordinator_.stateMachine().keyCount();
}

void ClaimShardTask::runAppender(LogService &log)
{
    while (!stopping_) {
        for (const AppendRecords &append : appends_.waitUntil(currentTime() + MaxSleep)) {
            const AppendResult result = leaf::try_handle_all(
                [&]() -> leaf::result<AppendResult> {
                    BOOST_LEAF_CHECK(log.append(stream_, append.records, AppendTimeout));
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
            mailbox_.post(Appended{append.batch, result});
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
            mailbox_.post(Read{std::move(batch), startedAt, caughtUp});
            return true;
        },
        [&](LogError error, const EarliestOffset &earliest) {
            if (error != LogError::Expired) {
                return false;
            }
            next = earliest.value;
            mailbox_.post(Expired{earliest.value});
            return true;
        },
        [] { return false; });
}

}
