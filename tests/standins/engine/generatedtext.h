#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Lentillock
{

/// All generated tokens have this length in bytes, so a position can be computed from the length of a text.
constexpr std::size_t GeneratedTokenBytes = 8;

/// Returns the tokens in [@p from, @p to) of the text that the stand-in generates for @p prompt.
///
/// The text depends only on the last 1024 bytes of the prompt, so that an engine that receives only the last part of a
/// long prompt generates the same text. Prompts must differ in these bytes if a test is to tell their texts apart.
std::string generatedText(std::string_view prompt, std::uint64_t from, std::uint64_t to);

}
