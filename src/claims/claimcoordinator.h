#pragma once

#include "base/time.h"
#include "claims/claimstatemachine.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Lentillock
{

enum class ClaimDecision {
    Undecided, ///< Not decided within the time of the question.
    Won,
    Lost,
    Refused, ///< The claim cannot be granted, now or later.
};

/// A question for the verdict on a claim. @c token names the question in the answer.
struct ClaimProposal {
    std::uint64_t token = 0;
    WorkspaceId workspace;
    IdempotencyKey key;
    AttemptId attempt;
    TimePoint deadline;
};

/// A release or outcome to be recorded.
struct ClaimUpdate {
    std::uint64_t token = 0;
    ClaimRecord record;
    TimePoint deadline;
};

/// Append the records to the shard's stream and report the result with appendFinished().
struct AppendRecords {
    std::uint64_t batch = 0;
    std::vector<std::string> records;

    bool operator==(const AppendRecords &) const = default;
};

struct AnswerClaim {
    std::uint64_t token = 0;
    ClaimDecision verdict = ClaimDecision::Undecided;
    ClaimRunState winnerState = ClaimRunState::Unknown;
    std::string message;

    bool operator==(const AnswerClaim &) const = default;
};

/// Answer to a note: whether its record has been read back from the log.
struct AnswerUpdate {
    std::uint64_t token = 0;
    bool recorded = false;

    bool operator==(const AnswerUpdate &) const = default;
};

using ClaimAction = std::variant<AppendRecords, AnswerClaim, AnswerUpdate>;
using ClaimActions = std::vector<ClaimAction>;

enum class AppendResult {
    Appended,
    NotAppended, ///< Certainly without effect.
    Unknown,
};

/// Decides claims of one shard: shares appends between questions and answers each from the fold once the claim's own record has been read.
///
/// A second append of a record is harmless, since the fold ignores it; it is avoided only to save appends. No answer depends on being the only
/// writer, and none is given from the outcome of an append.
class ClaimCoordinator
{
public:
    /// Appends of one shard start at least this far apart. 16 shards then make at most 320 appends a second over the whole fleet.
    static constexpr milliseconds AppendInterval{50};
    /// Records in one append.
    static constexpr std::size_t MaxBatch = 256;

    /// Ledger position to read from next.
    [[nodiscard]] std::uint64_t nextOffset() const;
    [[nodiscard]] const ClaimStateMachine &stateMachine() const;

    ClaimActions propose(TimePoint now, WallTime wallNow, const ClaimProposal &proposal);
    ClaimActions update(TimePoint now, const ClaimUpdate &update);
    ClaimActions appendFinished(TimePoint now, std::uint64_t batch, AppendResult result);

    /// @p caughtUp says that the read reached the end of the stream, as of the time at which it was started: @p startedAt.
    ClaimActions readFinished(TimePoint now, const LogBatch &batch, TimePoint startedAt, bool caughtUp);

    /// The records from the ledger's position on have expired; the fold starts again at @p earliest.
    ClaimActions recordsExpired(TimePoint now, std::uint64_t earliest);

    /// Sends appends that are due and answers questions whose time is over.
    ClaimActions advance(TimePoint now);

    /// When advance() has something to do next.
    [[nodiscard]] std::optional<TimePoint> nextDue() const;

private:
    struct Pending {
        ClaimRecord record;
        TimePoint deadline;
        std::vector<std::uint64_t> tokens;
        std::uint64_t batch = 0; ///< Append that carries the record; 0 while it is in unsent_.
    };
    using PendingKey = std::pair<ClaimRecordType, AttemptId>;
    struct Flight {
        std::uint64_t batch = 0;
        std::optional<TimePoint> unknownSince; ///< Set when the result of the append is unknown.
    };

    void add(const ClaimRecord &record, std::uint64_t token, TimePoint deadline);
    void settle(const LogRecord &record, ClaimActions &actions);
    void answer(const Pending &pending, ClaimActions &actions) const;
    [[nodiscard]] AnswerClaim verdictOn(const ClaimRecord &claim) const;
    void expireQuestions(TimePoint now, ClaimActions &actions);
    void requeue(std::uint64_t batch);
    void startAppend(TimePoint now, ClaimActions &actions);

    ClaimStateMachine stateMachine_;
    std::map<PendingKey, Pending> pending_;
    std::deque<PendingKey> unsent_;
    TimePoint earliestDeadline_ = TimePoint::max(); ///< No pending record has an earlier deadline.
    std::optional<Flight> flight_;
    std::uint64_t nextBatch_ = 1;
    std::optional<TimePoint> lastAppend_;
    bool caughtUp_ = false;
    bool markSent_ = false;
};

}
