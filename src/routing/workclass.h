#pragma once

#include <cstddef>
#include <cstdint>

namespace Lentillock
{

/// Classes of requests by prompt length. The routing policy places them on different endpoints where it can.
enum class WorkClass {
    Short,
    Medium,
    Long,
};

constexpr std::size_t WorkClassCount = 3;

/// Prompts with fewer tokens are short.
constexpr std::uint64_t ShortPromptTokens = 4'000;
/// Prompts with at least this many tokens are long.
constexpr std::uint64_t LongPromptTokens = 100'000;

constexpr WorkClass workClassOf(std::uint64_t promptTokens)
{
    if (promptTokens < ShortPromptTokens) {
        return WorkClass::Short;
    }
    return promptTokens < LongPromptTokens ? WorkClass::Medium : WorkClass::Long;
}

}
