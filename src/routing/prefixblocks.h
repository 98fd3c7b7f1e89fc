#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Lentillock
{

/// Bytes of text per token that are assumed when estimating the length of a prompt.
constexpr std::size_t BytesPerToken = 8;

/// Size of the blocks in which engines cache and report prompt prefixes.
constexpr std::size_t PrefixBlockTokens = 512;
constexpr std::size_t PrefixBlockBytes = PrefixBlockTokens * BytesPerToken;

/// Returns the estimated number of tokens of @p text, rounded up.
std::uint64_t estimatedTokens(std::string_view text);

/// Returns the hashes of the complete leading blocks of @p prompt. Each hash covers @p salt and all text up to the end of its block, so
/// prompts with different salts have no hash in common.
std::vector<std::uint64_t> prefixBlockHashes(std::string_view prompt, std::string_view salt);

}
