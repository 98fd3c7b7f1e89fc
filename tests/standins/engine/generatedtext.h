#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Lentillock
{

/// Every generated token is this many bytes long, so a position can be computed from a text.
constexpr std::size_t GeneratedTokenBytes = 8;

/// The tokens from @p from up to, but not including, @p to of the stand-in's answer to @p prompt.
///
/// Depends only on the last 1024 bytes of the prompt, so that an engine that receives only the last part of a long
/// prompt generates the same text. Prompts that a test wants to tell apart have to differ there.
std::string generatedText(std::string_view prompt, std::uint64_t from, std::uint64_t to);

}
