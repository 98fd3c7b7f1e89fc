#pragma once

#include "base/mailbox.h"
#include "base/metrics.h"
#include "claims/claimcoordinator.h"
#include "platform/logservice.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <thread>
#include <variant>

namespace Lentillock
{

/// Figures of one shard for metrics and the state dump.
struct ClaimShardStats {
    std::uint64_t offset = 0;
    std::size_t keys = 0;
    std::uint64_t appends = 0;
};

/// Task that owns the coordinator of one claim shard. Two helpers block on the log: one reads, one appends.
class ClaimShardTask
{
public:
    using LogFactory = std::function<std::unique_ptr<LogService>()>;
    using ClaimCallback = std::function<void(const AnswerClaim &)>;
    using NoteCallback = std::function<void(bool recorded)>;

    ClaimShardTask(std::uint32_t shard, const LogFactory &makeLog, Metrics &metrics);
    ClaimShardTask(const ClaimShardTask &) = delete;
    ClaimShardTask &operator=(const ClaimShardTask &) = delete;
    /// Answers open questions as undecided. Blocks until the log calls in progress have ended, unless hasStopped().
    ~ClaimShardTask();

    void requestStop();
    [[nodiscard]] bool hasStopped() const;

    /// The question's token is set by the task.
    void ask(ClaimProposal question, ClaimCallback callback);
    void note(ClaimUpdate note, NoteCallback callback);

    [[nodiscard]] ClaimShardStats stats() const;

private:
    struct Asked {
        ClaimProposal question;
        ClaimCallback callback;
    };
    struct Noted {
        ClaimUpdate note;
        NoteCallback callback;
    };
    struct Appended {
        std::uint64_t batch = 0;
        AppendResult result = AppendResult::Unknown;
    };
    struct Read {
        LogBatch batch;
        TimePoint startedAt;
        bool caughtUp = false;
    };
    struct Expired {
        std::uint64_t earliest = 0;
    };
    using Message = std::variant<Asked, Noted, Appended, Read, Expired>;

    void run();
    void runReader(LogService &log);
    void runAppender(LogService &log);
    /// Reads once; false if the log could not be read.
    bool readOnce(LogService &log, std::uint64_t &next);
    ClaimActions handle(TimePoint now, Asked &message);
    ClaimActions handle(TimePoint now, Noted &message);
    ClaimActions handle(TimePoint now, Appended &message);
    ClaimActions handle(TimePoint now, Read &message);
    ClaimActions handle(TimePoint now, Expired &message);
    void perform(const ClaimActions &actions);
    void answerUnhandled();
    void performAction(const AppendRecords &action);
    void performAction(const AnswerClaim &action);
    void performAction(const AnswerUpdate &action);
    void updateStats();

    std::string stream_;
    Metrics &metrics_;
    std::unique_ptr<LogService> readLog_;
    std::unique_ptr<LogService> appendLog_;
    ClaimCoordinator coordinator_;
    std::map<std::uint64_t, ClaimCallback> claims_;
    std::map<std::uint64_t, NoteCallback> notes_;
    std::uint64_t nextToken_ = 1;
    Mailbox<Message> mailbox_;
    Mailbox<AppendRecords> appends_;
    std::atomic<std::uint64_t> offset_ = 0;
    std::atomic<std::size_t> keys_ = 0;
    std::atomic<std::uint64_t> appendCount_ = 0;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> runningThreads_ = 3;
    std::thread owner_;
    std::thread reader_;
    std::thread appender_;
};

}
