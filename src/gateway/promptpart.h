#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace Lentillock
{

/// Identifies a part of a prompt, such as a system prompt or a document, that several requests can share.
struct PromptPartId {
    std::uint64_t value = 0;

    auto operator<=>(const PromptPartId &) const = default;

    /// For unordered containers.
    struct Hash {
        std::size_t operator()(const PromptPartId &part) const;
    };

    /// Text as in the requests of callers, if that has at most 16 hexadecimal digits; otherwise a hash of it. Identifiers come from callers and can
    /// have any length.
    [[nodiscard]] std::string text() const;

    static PromptPartId fromText(std::string_view text);
};

/// Parts of a prompt that other requests can share, in the order of the prompt.
using PromptParts = std::vector<PromptPartId>;

/// What is known of the prompt of a request: its shared parts, and a hash that only requests with exactly the same prompt have. For a request without a
/// prompt, the hash is one of its method, target and body.
struct PromptIdentity {
    PromptIdentity(PromptParts sharedParts = {}, std::uint64_t promptHash = 0);
    PromptIdentity(std::initializer_list<PromptPartId> sharedParts);

    PromptParts parts;
    std::uint64_t hash = 0; ///< 0: unknown.

    auto operator<=>(const PromptIdentity &) const = default;

    [[nodiscard]] bool isEmpty() const;
};

/// @p hash as hexadecimal digits.
std::string promptHashText(std::uint64_t hash);

/// Number of parts of a prompt that are considered. Further parts are ignored.
inline constexpr std::size_t MaxPromptParts = 16;

/// The identifiers, separated by commas.
std::string promptPartsText(const PromptParts &parts);

}
