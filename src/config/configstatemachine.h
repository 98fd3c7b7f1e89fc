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

/// The rules of one rules version. Rules that have been published by are never changed; a change of what is valid is a new version.
struct ConfigRules {
    std::uint32_t version = 0;

    /// Returns null and adds findings when the texts are not valid.
    ServingDocumentPtr (*validate)(const SectionTexts &texts, Findings &findings) = nullptr;

    /// Like validate, for a document that differs from the valid one only in one section.
    ServingDocumentPtr (*validateChange)(const ServingDocument &current, const std::string &section, const std::string &text, Findings &findings) = nullptr;
};

/// All rules that this binary knows.
std::vector<ConfigRules> knownConfigRules();

/// Highest rules version that this binary knows.
std::uint32_t newestRulesVersion();

enum class ConfigVerdict {
    Accepted,
    Conflict, ///< The base is not the current version of the section.
    Invalid, ///< The document would not be valid.
    OldRules, ///< A record with newer rules has been accepted before.
    Repeated, ///< A record with this id was judged before.
    Malformed,
    Snapshot, ///< A snapshot that matches this fold, or that is too old to be compared.
    SnapshotMismatch, ///< A snapshot of the same offset with another digest.
    NotJudged, ///< The fold has stopped, or has already read the offset.
};

/// What the fold decided about one record, and why.
struct ConfigDecision {
    std::uint64_t offset = 0;
    WallTime time;
    ConfigVerdict verdict = ConfigVerdict::NotJudged;
    PublishRecord record; ///< Publish records only.
    std::uint64_t currentVersion = 0; ///< Version of the section before the record.
    std::string currentText; ///< Text of the section before the record; conflicts only.
    std::uint64_t snapshotThroughOffset = 0; ///< Last offset that is contained; snapshots only.
    Findings findings; ///< Why a record is not valid; warnings of an accepted one.

    bool operator==(const ConfigDecision &) const = default;
};

/// Folds the records of the log stream "config" into the configuration. Every reader that folds the same records has the same state.
class ConfigStateMachine
{
public:
    /// A publish id is remembered for this time of the log's clock. A publisher gives up long before.
    static constexpr milliseconds IdWindow = 1h;

    /// Digests of the newest states that are kept to compare snapshots of other writers with.
    static constexpr std::size_t MaxDigests = 256;

    explicit ConfigStateMachine(std::vector<ConfigRules> rules = knownConfigRules());

    /// A fold that continues after a snapshot. Returns nothing and adds findings when its digest does not match its content, its
    /// sections are not valid or its rules are unknown.
    static std::optional<ConfigStateMachine> restore(std::string_view snapshotData, Findings &findings, std::vector<ConfigRules> rules = knownConfigRules());

    /// Judges the next record. Records at offsets that were read before change nothing.
    ConfigDecision apply(const LogRecord &record);

    /// Offset from which to read on.
    [[nodiscard]] std::uint64_t nextOffset() const;

    /// Highest accepted offset. Only rises.
    [[nodiscard]] std::uint64_t version() const;

    /// Never null.
    [[nodiscard]] const ServingDocumentPtr &document() const;

    /// State of a section; version 0 and no text when it has not been published.
    [[nodiscard]] SectionState section(std::string_view name) const;

    /// Complete state.
    [[nodiscard]] const ConfigSnapshot &state() const;

    /// Record data of a snapshot of the complete state. Equal on all readers that have read to the same offset.
    [[nodiscard]] std::string snapshotData() const;

    /// The rules version of the record at which the fold has stopped because this binary does not know it.
    [[nodiscard]] std::optional<std::uint64_t> unknownRulesVersion() const;

private:
    [[nodiscard]] const ConfigRules *rules(std::uint64_t version) const;
    [[nodiscard]] ServingDocumentPtr validate(const PublishRecord &record, Findings &findings) const;
    void judgePublish(const LogRecord &record, PublishRecord publish, ConfigDecision &decision);
    void judgeSnapshot(const SnapshotRecord &record, ConfigDecision &decision) const;
    void forgetOldIds(WallTime now);
    void rememberDigest();

    std::vector<ConfigRules> rules_;
    ConfigSnapshot state_;
    std::uint64_t version_ = 0;
    ServingDocumentPtr document_;
    std::deque<std::pair<std::uint64_t, std::string>> digests_;
    std::optional<std::uint64_t> unknownRulesVersion_;
};

}
