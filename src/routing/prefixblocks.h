#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Lentillock
{

/// Prompt tokens are estimated from the length of the text.
constexpr std::size_t BytesPerToken = 8;

/// Unit in which engines cache and report prompt prefixes.
constexpr std::size_t PrefixBlockTokens = 512;
constexpr std::size_t PrefixBlockBytes = PrefixBlockTokens * BytesPerToken;

/// Estimated number of tokens of @p text, rounded up.
std::uint64_t estimatedTokens(std::string_view text);

/// Hashes of the whole leading blocks of @p prompt. Each hash covers @p salt and all text before the end of its block,
/// so prompts with different salts have no hash in common.
std::vector<std::uint64_t> prefixBlockHashes(std::string_view prompt, std::string_view salt);

}
