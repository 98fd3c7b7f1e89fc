#pragma once

#include <cstddef>
#include <cstdint>

namespace Lentillock
{

/// Length classes that are kept apart by the routing policy.
enum class WorkClass {
    Short,
    Medium,
    Long,
};

constexpr std::size_t WorkClasses = 3;

/// Prompts of fewer tokens are short.
constexpr std::uint64_t ShortPromptTokens = 4'000;
/// Prompts of at least this many tokens are long.
constexpr std::uint64_t LongPromptTokens = 100'000;

constexpr WorkClass workClassOf(std::uint64_t promptTokens)
{
    if (promptTokens < ShortPromptTokens) {
        return WorkClass::Short;
    }
    return promptTokens < LongPromptTokens ? WorkClass::Medium : WorkClass::Long;
}

}
