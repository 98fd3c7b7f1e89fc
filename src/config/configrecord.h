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

/// The log numbers the records of a stream from 1, so version 0 means that a section has not been published.
inline constexpr std::uint64_t FirstOffset = 1;

/// An operator's new text for one section.
struct PublishRecord {
    std::uint32_t rulesVersion = 0; ///< Version of the fold's rules by which the record is to be judged.
    std::string id; ///< Unique for each publish; equal in repeated appends of the same publish.
    std::string section;
    std::uint64_t base = 0; ///< Version of the section that the operator edited.
    std::string author;
    std::string text;

    auto operator<=>(const PublishRecord &) const = default;
};

struct SectionState {
    std::uint64_t version = 0; ///< Offset of the accepted record; 0 when the section has not been published.
    std::string text;

    auto operator<=>(const SectionState &) const = default;
};

/// Complete state of the fold after the record at one offset.
struct ConfigSnapshot {
    std::uint32_t rulesVersion = 0; ///< Highest rules version among the accepted records.
    std::uint64_t throughOffset = 0; ///< Last offset whose record is contained.
    std::map<std::string, SectionState, std::less<>> sections;
    std::map<std::string, WallTime> decidedIds; ///< Publish ids judged within the id window, with the time of their record.

    /// SHA-256 over the whole content, equal on all VMs.
    [[nodiscard]] std::string digest() const;

    auto operator<=>(const ConfigSnapshot &) const = default;
};

/// Data of a record that cannot be understood by rules that this binary knows.
struct UnknownRules {
    std::uint64_t rulesVersion = 0;

    auto operator<=>(const UnknownRules &) const = default;
};

/// Data that is not a record of any known form.
struct MalformedRecord {
    Findings findings;

    bool operator==(const MalformedRecord &) const = default;
};

/// A snapshot record with the digest that its writer computed.
struct SnapshotRecord {
    ConfigSnapshot snapshot;
    std::string digest;

    bool operator==(const SnapshotRecord &) const = default;
};

using ConfigRecord = std::variant<PublishRecord, SnapshotRecord, UnknownRules, MalformedRecord>;

/// Record data as JSON.
std::string encodeRecord(const PublishRecord &record);
std::string encodeRecord(const ConfigSnapshot &snapshot);

/// @p knowsRules tells whether this binary knows a rules version. A record of another rules version is not looked into any further.
ConfigRecord decodeRecord(std::string_view data, const std::function<bool(std::uint64_t rulesVersion)> &knowsRules);

}
