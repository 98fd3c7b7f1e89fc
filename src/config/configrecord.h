#pragma once

#include "base/findings.h"
#include "base/time.h"
#include "config/documentvalidator.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Lentillock
{

/// Name of the log stream that holds the configuration.
inline constexpr const char *ConfigStream = "config";

/// Offset of the first record of a stream. A version is the offset of a record, so 0 means that a section has not been published.
inline constexpr std::uint64_t FirstOffset = 1;

/// Proposes a new text for one section.
struct PublishRecord {
    std::uint32_t rulesVersion = 0; ///< Version of the rules that apply to the record.
    std::string id; ///< Unique for each publish operation; repeated appends of one operation have the same id.
    std::string section;
    std::uint64_t base = 0; ///< Version of the section that the operator edited.
    std::string author;
    std::string text;

    auto operator<=>(const PublishRecord &) const = default;
};

struct SectionState {
    std::uint64_t version = 0; ///< Offset of the accepted record; 0 if the section has not been published.
    std::string text;

    auto operator<=>(const SectionState &) const = default;
};

/// Complete state of ConfigStateMachine after it has applied the record at one offset.
struct ConfigSnapshot {
    std::uint32_t rulesVersion = 0; ///< Highest rules version among the accepted records.
    std::uint64_t throughOffset = 0; ///< Offset of the last record that is included.
    std::map<std::string, SectionState, std::less<>> sections;
    std::map<std::string, WallTime> decidedIds; ///< Publish ids processed within the deduplication window, with the time of their record.

    /// SHA-256 of the complete content, identical on all VMs with the same state.
    [[nodiscard]] std::string digest() const;

    auto operator<=>(const ConfigSnapshot &) const = default;
};

/// A record whose rules version this binary does not support.
struct UnknownRulesVersion {
    std::uint64_t rulesVersion = 0;

    auto operator<=>(const UnknownRulesVersion &) const = default;
};

/// A record that cannot be parsed.
struct MalformedRecord {
    Findings findings;

    bool operator==(const MalformedRecord &) const = default;
};

/// A snapshot and the digest that its writer computed.
struct SnapshotRecord {
    ConfigSnapshot snapshot;
    std::string digest;

    bool operator==(const SnapshotRecord &) const = default;
};

using ConfigRecord = std::variant<PublishRecord, SnapshotRecord, UnknownRulesVersion, MalformedRecord>;

/// Serializes a record as JSON.
std::string encodeRecord(const PublishRecord &record);
std::string encodeRecord(const ConfigSnapshot &snapshot);

/// Parses a record. @p isKnownRulesVersion returns whether this binary supports a rules version; if not, the other members are not parsed.
ConfigRecord decodeRecord(std::string_view data, const std::function<bool(std::uint64_t rulesVersion)> &isKnownRulesVersion);

}
