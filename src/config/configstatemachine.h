#pragma once

#include "base/findings.h"
#include "config/configrecord.h"
#include "config/documentvalidator.h"
#include "config/servingdocument.h"
#include "platform/logservice.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Lentillock
{

/// Validation rules of one rules version. Once records have been published under a version, its rules must not change; any change of
/// what is valid requires a new version.
struct ConfigRules {
    std::uint32_t version = 0;

    /// Returns null and adds findings if the texts are not valid.
    ServingDocumentPtr (*validate)(const SectionTexts &texts, Findings &findings) = nullptr;

    /// Like validate, for a document that differs from the valid document @p current only in @p section.
    ServingDocumentPtr (*validateChange)(const ServingDocument &current, const std::string &section, const std::string &text, Findings &findings) = nullptr;
};

/// All rules that this binary supports, by ascending version.
std::vector<ConfigRules> knownConfigRules();

/// Highest rules version that this binary supports.
std::uint32_t newestRulesVersion();

enum class ConfigVerdict {
    Accepted,
    Conflict, ///< The base is not the current version of the section.
    Invalid, ///< The resulting document would not be valid.
    OldRules, ///< A record with a higher rules version has already been accepted.
    Repeated, ///< A record with this id has already been processed.
    Malformed,
    Snapshot, ///< A snapshot that matches the state at its offset, or whose offset is too old to compare.
    SnapshotMismatch, ///< A snapshot that differs from the state at its offset, has a wrong digest or claims to include its own or later records.
    NotJudged, ///< The record was not processed: the state machine has stopped, or has already applied the offset.
};

/// Result of applying one record, with the reason.
struct ConfigDecision {
    std::uint64_t offset = 0;
    WallTime time;
    ConfigVerdict verdict = ConfigVerdict::NotJudged;
    PublishRecord record; ///< Publish records only.
    std::uint64_t currentVersion = 0; ///< Version of the section before the record; publish records only.
    std::string currentText; ///< Text of the section before the record; conflicts only.
    std::uint64_t snapshotThroughOffset = 0; ///< Offset of the last record that the snapshot includes; snapshots only.
    Findings findings; ///< Errors of a rejected record, warnings of an accepted one.

    bool operator==(const ConfigDecision &) const = default;
};

/// Deterministic state machine that computes the configuration from the log stream "config". Replicas that have applied the same records
/// have the same state.
class ConfigStateMachine
{
public:
    /// How long publish ids are kept to detect repeated records, measured by the log's clock. Must be much longer than the timeout of a
    /// publisher, which repeats its record only until then.
    static constexpr milliseconds DeduplicationWindow = 1h;

    /// How many digests of recent states are kept to verify snapshots written by other VMs.
    static constexpr std::size_t MaxRecentDigests = 256;

    explicit ConfigStateMachine(std::vector<ConfigRules> rules = knownConfigRules());

    /// Creates a state machine with the state of a snapshot. Returns nothing and adds findings if the snapshot's digest does not match its
    /// content, its sections are not valid or its rules version is unknown.
    static std::optional<ConfigStateMachine> restore(std::string_view snapshotData, Findings &findings, std::vector<ConfigRules> rules = knownConfigRules());

    /// Applies the next record. Records below nextOffset() have been applied already and are skipped.
    ConfigDecision apply(const LogRecord &record);

    /// Offset of the next record to apply.
    [[nodiscard]] std::uint64_t nextOffset() const;

    /// Offset of the last accepted record; 0 if there is none. Never decreases.
    [[nodiscard]] std::uint64_t version() const;

    /// Never null.
    [[nodiscard]] const ServingDocumentPtr &document() const;

    /// State of a section; version 0 and an empty text if it has not been published.
    [[nodiscard]] SectionState section(std::string_view name) const;

    [[nodiscard]] const ConfigSnapshot &state() const;

    /// Snapshot record of the complete state. Identical on all replicas that have applied the same records.
    [[nodiscard]] std::string snapshotData() const;

    /// Rules version of the record at which the state machine has stopped because this binary does not support it.
    [[nodiscard]] std::optional<std::uint64_t> unknownRulesVersion() const;

private:
    [[nodiscard]] const ConfigRules *findRules(std::uint64_t version) const;
    [[nodiscard]] ServingDocumentPtr validate(const PublishRecord &record, Findings &findings) const;
    void applyPublish(const LogRecord &record, PublishRecord publish, ConfigDecision &decision);
    void verifySnapshot(const SnapshotRecord &record, ConfigDecision &decision) const;
    void pruneDecidedIds(WallTime now);
    void recordDigest();

    std::vector<ConfigRules> rules_;
    ConfigSnapshot state_;
    std::uint64_t version_ = 0;
    ServingDocumentPtr document_;
    std::deque<std::pair<std::uint64_t, std::string>> recentDigests_; ///< Offset and digest of recent states, oldest first.
    std::optional<std::uint64_t> unknownRulesVersion_;
};

}
