#pragma once

#include "claims/claimrecord.h"
#include "platform/logservice.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Lentillock
{

/// Status of an attempt according to the records read so far.
enum class ClaimStatus {
    Unread, ///< No claim of the attempt has been read.
    Won,
    Lost, ///< Another attempt held the key when the claim was applied.
    Released,
    Refused, ///< The key is older than the first record that this state machine has applied, so earlier claims of it may be unknown.
};

struct ClaimResult {
    ClaimStatus status = ClaimStatus::Unread;
    ClaimRunState winnerState = ClaimRunState::Unknown; ///< Run state of the attempt that holds the key; WasNotRun if none does.

    bool operator==(const ClaimResult &) const = default;
};

/// Deterministic state machine replicated from the log of one claim shard. Replicas that have applied the same records since the start of the
/// key window have the same state.
///
/// The first claim record of an attempt decides its status permanently, except that a release ends it; later claim records of the same attempt
/// have no effect. The age of a key is judged by the record's log time and never by a local clock.
class ClaimStateMachine
{
public:
    /// How long a key is remembered after its creation time.
    static constexpr milliseconds KeyWindow{std::chrono::hours(1)};
    /// How far a key's creation time may lie in the future; the tolerance for callers' clocks.
    static constexpr milliseconds MaxFutureSkew{std::chrono::seconds(60)};

    /// Offset of the first record of a stream.
    static constexpr std::uint64_t FirstOffset = 1;

    /// Discards all state and starts at @p offset. The records before it are treated as unknown.
    void restart(std::uint64_t offset);

    /// Applies a record. Records below nextOffset() have been applied already and are skipped.
    void apply(const LogRecord &record);

    /// Marks all records below @p next as read.
    void advanceTo(std::uint64_t next);

    [[nodiscard]] ClaimResult result(const WorkspaceId &workspace, const IdempotencyKey &key, const AttemptId &attempt) const;

    /// Whether every record that can affect @p key has been read, so that a claim of the key can be decided.
    [[nodiscard]] bool covers(const IdempotencyKey &key) const;

    /// Whether the time of the first record is known or not needed; until then covers() is false for every key.
    [[nodiscard]] bool hasStartTime() const;

    /// Whether a claim of @p key that is recorded at @p time is accepted.
    [[nodiscard]] static bool acceptsAge(const IdempotencyKey &key, WallTime time);

    [[nodiscard]] std::uint64_t nextOffset() const;
    [[nodiscard]] std::size_t keyCount() const;
    [[nodiscard]] std::uint64_t malformedRecords() const;

    /// Digest of the state, for comparing replicas.
    [[nodiscard]] std::string digest() const;

private:
    /// A key within the workspace that claims it.
    struct ScopedKey {
        std::uint32_t workspace = 0;
        IdempotencyKey key;

        auto operator<=>(const ScopedKey &) const = default;
    };
    struct ScopedKeyHash {
        std::size_t operator()(const ScopedKey &scopedKey) const noexcept;
    };
    enum class AttemptStatus : std::uint8_t {
        Won,
        Lost,
        Released,
    };
    struct Attempt {
        std::string id;
        AttemptStatus status = AttemptStatus::Lost;
    };
    struct KeyState {
        std::vector<Attempt> attempts;
        ClaimRunState runState = ClaimRunState::WasNotRun; ///< Run state of the holder; WasNotRun if there is none.
        bool dispatched = false; ///< The holder has recorded an outcome, so a release no longer frees the key.
    };

    void applyClaim(KeyState &entry, const AttemptId &attempt);
    void applyRelease(KeyState &entry, const AttemptId &attempt);
    void applyOutcome(KeyState &entry, const ClaimRecord &record);
    KeyState &keyStateFor(const ClaimRecord &record);
    [[nodiscard]] const KeyState *find(const WorkspaceId &workspace, const IdempotencyKey &key) const;
    void prune(WallTime time);
    static Attempt *findAttempt(KeyState &entry, const AttemptId &attempt);

    std::unordered_map<ScopedKey, KeyState, ScopedKeyHash> keys_;
    std::map<std::int64_t, std::vector<ScopedKey>> byCreation_; ///< Keys by creation time in seconds, for pruning.
    std::map<std::string, std::uint32_t, std::less<>> workspaceNumbers_; ///< Numbers that stand for workspaces in ScopedKey, local to this replica.
    std::uint64_t startOffset_ = FirstOffset;
    std::uint64_t nextOffset_ = FirstOffset;
    std::optional<WallTime> firstRecordTime_;
    WallTime lastRecordTime_;
    std::uint64_t malformedRecords_ = 0;
};

}
