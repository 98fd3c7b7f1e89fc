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

/// Where an attempt stands according to the records read so far.
enum class ClaimStatus {
    Unread, ///< No claim of the attempt has been read.
    Won,
    Lost, ///< Another attempt held the key when the claim was read.
    Released,
    Refused, ///< The key was too old or too far in the future when the claim was recorded, or older than the start of the fold.
};

struct ClaimResult {
    ClaimStatus status = ClaimStatus::Unread;
    ClaimRunState winnerState = ClaimRunState::Unknown; ///< Of the attempt that holds the key; WasNotRun if none does.

    bool operator==(const ClaimResult &) const = default;
};

/// Deterministic fold over the records of one claim shard. Folds that have read the same records from the start of the key window agree.
///
/// The first claim record of an attempt decides its standing for good, except that a release ends it; later claim records of the same attempt
/// change nothing. Age is judged by the log's record time and never by a local clock.
class ClaimStateMachine
{
public:
    /// How long a key is remembered after its creation time.
    static constexpr milliseconds KeyWindow{std::chrono::hours(1)};
    /// How far a key's creation time may lie in the future; bounds the error of callers' clocks.
    static constexpr milliseconds MaxFutureSkew{std::chrono::seconds(60)};

    /// The log numbers the records of a stream from 1.
    static constexpr std::uint64_t FirstOffset = 1;

    /// Discards all state and starts at @p offset. Records before it are unknown to the fold.
    void restart(std::uint64_t offset);

    /// Applies a record. Records below nextOffset() have been applied already and are skipped.
    void apply(const LogRecord &record);

    /// Notes that all records below @p next have been read.
    void advanceTo(std::uint64_t next);

    [[nodiscard]] ClaimResult result(const WorkspaceId &workspace, const IdempotencyKey &key, const AttemptId &attempt) const;

    /// Whether the fold has read every record that can concern @p key. A claim of such a key can be decided.
    [[nodiscard]] bool covers(const IdempotencyKey &key) const;

    /// Whether the start of the fold is dated, which covers() needs.
    [[nodiscard]] bool isDated() const;

    /// Whether a claim of @p key that is recorded at @p time is accepted.
    [[nodiscard]] static bool acceptsAge(const IdempotencyKey &key, WallTime time);

    [[nodiscard]] std::uint64_t nextOffset() const;
    [[nodiscard]] std::size_t keyCount() const;
    [[nodiscard]] std::uint64_t malformedRecords() const;

    /// Digest of the state; equal in folds that agree.
    [[nodiscard]] std::string digest() const;

private:
    struct Name {
        std::uint32_t workspace = 0;
        IdempotencyKey key;

        auto operator<=>(const Name &) const = default;
    };
    struct NameHash {
        std::size_t operator()(const Name &name) const noexcept;
    };
    enum class Standing : std::uint8_t {
        Won,
        Lost,
        Released,
    };
    struct Attempt {
        std::string id;
        Standing status = Standing::Lost;
    };
    struct Entry {
        std::vector<Attempt> attempts;
        ClaimRunState state = ClaimRunState::WasNotRun; ///< Of the holder; WasNotRun if there is none.
        bool dispatched = false; ///< The holder has recorded an outcome, so it can no longer give up the key.
    };

    void applyClaim(Entry &entry, const AttemptId &attempt);
    void applyRelease(Entry &entry, const AttemptId &attempt);
    void applyOutcome(Entry &entry, const ClaimRecord &record);
    Entry &entryFor(const ClaimRecord &record);
    [[nodiscard]] const Entry *find(const WorkspaceId &workspace, const IdempotencyKey &key) const;
    void prune(WallTime time);
    static Attempt *findAttempt(Entry &entry, const AttemptId &attempt);

    std::unordered_map<Name, Entry, NameHash> entries_;
    std::map<std::int64_t, std::vector<Name>> byCreation_; ///< Keys by the second in which they were created, for pruning.
    std::map<std::string, std::uint32_t, std::less<>> workspaces_; ///< Short numbers for workspaces, local to this fold.
    std::uint64_t start_ = FirstOffset;
    std::uint64_t next_ = FirstOffset;
    std::optional<WallTime> startTime_;
    WallTime lastTime_;
    std::uint64_t malformed_ = 0;
};

}
