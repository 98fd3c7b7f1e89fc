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
    Undecided, ///< Not decided before the deadline.
    Won,
    Lost,
    Refused, ///< The claim can never be granted.
};

/// A claim to be decided. @c token identifies it in the answer.
struct ClaimProposal {
    std::uint64_t token = 0;
    WorkspaceId workspace;
    IdempotencyKey key;
    AttemptId attempt;
    TimePoint deadline;
};

/// A release or outcome to be recorded. @c token identifies it in the answer.
struct ClaimUpdate {
    std::uint64_t token = 0;
    ClaimRecord record;
    TimePoint deadline;
};

/// Requests that the caller append the records to the shard's stream and report the result with appendFinished().
struct AppendRecords {
    std::uint64_t batch = 0;
    std::vector<std::string> records;

    bool operator==(const AppendRecords &) const = default;
};

/// Requests that the caller deliver the verdict on a claim.
struct AnswerClaim {
    std::uint64_t token = 0;
    ClaimDecision verdict = ClaimDecision::Undecided;
    ClaimRunState winnerState = ClaimRunState::Unknown;
    std::string message;

    bool operator==(const AnswerClaim &) const = default;
};

/// Requests that the caller report whether the record of a release or outcome has been read back from the log.
struct AnswerUpdate {
    std::uint64_t token = 0;
    bool recorded = false;

    bool operator==(const AnswerUpdate &) const = default;
};

using ClaimAction = std::variant<AppendRecords, AnswerClaim, AnswerUpdate>;
using ClaimActions = std::vector<ClaimAction>;

enum class AppendResult {
    Appended,
    NotAppended, ///< The append had and will have no effect.
    Unknown, ///< The append may have taken effect or may still do so.
};

/// Decides the claims of one shard. Batches records into appends and answers a claim from the state machine once the claim's own record has
/// been read from the log.
///
/// Appending a record twice is harmless, since the state machine ignores the second copy; it is avoided only to save appends. No answer relies
/// on this VM being the only writer or on the result of an append.
class ClaimCoordinator
{
public:
    /// Minimum time between the starts of two appends of a shard. With 16 shards, one writer each, this allows 320 appends per second in the
    /// whole fleet.
    static constexpr milliseconds AppendInterval{50};
    /// Maximum number of records in one append.
    static constexpr std::size_t MaxBatch = 256;

    /// Offset of the next record to read.
    [[nodiscard]] std::uint64_t nextOffset() const;
    [[nodiscard]] const ClaimStateMachine &stateMachine() const;

    /// Starts deciding a claim, or answers it at once if its verdict is known or its key is out of range by @p wallNow.
    ClaimActions propose(TimePoint now, WallTime wallNow, const ClaimProposal &proposal);
    /// Starts recording a release or outcome.
    ClaimActions update(TimePoint now, const ClaimUpdate &update);
    /// Handles the result of the append @p batch.
    ClaimActions appendFinished(TimePoint now, std::uint64_t batch, AppendResult result);

    /// Handles the records of a read. @p caughtUp means that the read, which was started at @p startedAt, reached the end of the stream as of
    /// that time.
    ClaimActions readFinished(TimePoint now, const LogBatch &batch, TimePoint startedAt, bool caughtUp);

    /// Handles the expiry of the records at nextOffset(): the state machine restarts at @p earliest.
    ClaimActions recordsExpired(TimePoint now, std::uint64_t earliest);

    /// Starts an append if one is due and answers the pending records whose deadline has passed.
    ClaimActions advance(TimePoint now);

    /// Time at which advance() must be called next, if any.
    [[nodiscard]] std::optional<TimePoint> nextDue() const;

private:
    struct Pending {
        ClaimRecord record;
        TimePoint deadline;
        std::vector<std::uint64_t> tokens;
        std::uint64_t batch = 0; ///< Append that contains the record; 0 while it is in unsent_.
    };
    using PendingKey = std::pair<ClaimRecordType, AttemptId>;
    struct InFlightAppend {
        std::uint64_t batch = 0;
        std::optional<TimePoint> unknownSince; ///< Set if the append ended with an unknown result.
    };

    void addPending(const ClaimRecord &record, std::uint64_t token, TimePoint deadline);
    void completePending(const LogRecord &record, ClaimActions &actions);
    void answer(const Pending &pending, ClaimActions &actions) const;
    [[nodiscard]] AnswerClaim verdictOn(const ClaimRecord &claim) const;
    void expirePending(TimePoint now, ClaimActions &actions);
    void requeue(std::uint64_t batch);
    void startAppend(TimePoint now, ClaimActions &actions);

    ClaimStateMachine stateMachine_;
    std::map<PendingKey, Pending> pending_;
    std::deque<PendingKey> unsent_;
    TimePoint earliestDeadline_ = TimePoint::max(); ///< No pending record has an earlier deadline.
    std::optional<InFlightAppend> inFlight_;
    std::uint64_t nextBatch_ = 1;
    std::optional<TimePoint> lastAppend_;
    bool caughtUp_ = false;
    bool markSent_ = false;
};

}
