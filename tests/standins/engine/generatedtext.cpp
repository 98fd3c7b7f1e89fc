#include "standins/engine/generatedtext.h"

#include "base/hash.h"

#include <algorithm>

namespace Lentillock
{

namespace
{

constexpr std::size_t SignificantBytes = 1024;

}

std::string generatedText(std::string_view prompt, std::uint64_t from, std::uint64_t to)
{
    const std::string_view tail = prompt.substr(prompt.size() - std::min(prompt.size(), SignificantBytes));
    const std::uint64_t seed = stableHash(tail);
    constexpr std::string_view letters = "abcdefghijklmnop";
    std::string text;
    text.reserve((to - std::min(from, to)) * GeneratedTokenBytes);
    for (std::uint64_t position = from; position < to; ++position) {
        std::uint64_t bits = stableHash(std::to_string(position), seed);
        for (std::size_t i = 1; i < GeneratedTokenBytes; ++i) {
            text += letters[bits % letters.size()];
            bits /= letters.size();
        }
        text += ' ';
    }
    return text;
}

}
