#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
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

/// Number of parts of a prompt that are considered. Further parts are ignored.
inline constexpr std::size_t MaxPromptParts = 16;

/// The identifiers, separated by commas.
std::string promptPartsText(const PromptParts &parts);

}
