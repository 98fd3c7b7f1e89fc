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

/// Statistics of one claim shard for the state dump.
struct ClaimShardStats {
    std::uint64_t offset = 0;
    std::size_t keys = 0;
    std::uint64_t appends = 0;
};

/// Task that owns the coordinator of one claim shard. It has three threads: one runs the coordinator; the other two make the blocking calls to
/// the log, one reading and one appending.
class ClaimShardTask
{
public:
    using LogFactory = std::function<std::unique_ptr<LogService>()>;
    using ClaimCallback = std::function<void(const AnswerClaim &)>;
    using UpdateCallback = std::function<void(bool recorded)>;

    ClaimShardTask(std::uint32_t shard, const LogFactory &logFactory, Metrics &metrics);
    ClaimShardTask(const ClaimShardTask &) = delete;
    ClaimShardTask &operator=(const ClaimShardTask &) = delete;
    /// Answers pending claims as undecided and reports pending updates as not recorded. Blocks until running log calls have returned, unless
    /// hasStopped().
    ~ClaimShardTask();

    void requestStop();
    [[nodiscard]] bool hasStopped() const;

    /// Decides a claim. The token of @p proposal is ignored, since the task assigns its own.
    void claim(ClaimProposal proposal, ClaimCallback callback);
    /// Records a release or outcome. The token of @p update is ignored, since the task assigns its own.
    void update(ClaimUpdate update, UpdateCallback callback);

    [[nodiscard]] ClaimShardStats stats() const;

private:
    struct ClaimReceived {
        ClaimProposal proposal;
        ClaimCallback callback;
    };
    struct UpdateReceived {
        ClaimUpdate update;
        UpdateCallback callback;
    };
    struct AppendFinished {
        std::uint64_t batch = 0;
        AppendResult result = AppendResult::Unknown;
    };
    struct ReadFinished {
        LogBatch batch;
        TimePoint startedAt;
        bool caughtUp = false;
    };
    struct RecordsExpired {
        std::uint64_t earliest = 0;
    };
    using Message = std::variant<ClaimReceived, UpdateReceived, AppendFinished, ReadFinished, RecordsExpired>;

    void runCoordinator();
    void runReader(LogService &log);
    void runAppender(LogService &log);
    /// Reads the records from offset @p next and advances it. Returns false if the log could not be read.
    bool readOnce(LogService &log, std::uint64_t &next);
    ClaimActions handle(TimePoint now, ClaimReceived &message);
    ClaimActions handle(TimePoint now, UpdateReceived &message);
    ClaimActions handle(TimePoint now, AppendFinished &message);
    ClaimActions handle(TimePoint now, ReadFinished &message);
    ClaimActions handle(TimePoint now, RecordsExpired &message);
    void perform(const ClaimActions &actions);
    void answerPending();
    void performAction(const AppendRecords &action);
    void performAction(const AnswerClaim &action);
    void performAction(const AnswerUpdate &action);
    void updateStats();

    std::string stream_;
    Metrics &metrics_;
    std::unique_ptr<LogService> readLog_;
    std::unique_ptr<LogService> appendLog_;
    ClaimCoordinator coordinator_;
    std::map<std::uint64_t, ClaimCallback> claimCallbacks_;
    std::map<std::uint64_t, UpdateCallback> updateCallbacks_;
    std::uint64_t nextToken_ = 1;
    Mailbox<Message> mailbox_;
    Mailbox<AppendRecords> appendQueue_;
    std::atomic<std::uint64_t> nextOffset_ = 0;
    std::atomic<std::size_t> keyCount_ = 0;
    std::atomic<std::uint64_t> appendCount_ = 0;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> runningThreads_ = 3;
    std::thread coordinatorThread_;
    std::thread readerThread_;
    std::thread appenderThread_;
};

}
