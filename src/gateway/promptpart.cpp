#include "gateway/promptpart.h"

#include "base/hash.h"

#include <charconv>

namespace Lentillock
{

namespace
{

constexpr int HexadecimalBase = 16;

}

std::string PromptPartId::text() const
{
    std::string digits(2 * sizeof(value), '\0');
    const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), value, HexadecimalBase);
    digits.resize(static_cast<std::size_t>(end - digits.data()));
    return digits;
}

PromptPartId PromptPartId::fromText(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, HexadecimalBase);
    const bool isNumber = error == std::errc() && end == text.data() + text.size();
    return {isNumber ? value : stableHash(text)};
}

std::size_t PromptPartId::Hash::operator()(const PromptPartId &part) const
{
    return static_cast<std::size_t>(part.value);
}

std::string promptPartsText(const PromptParts &parts)
{
    std::string text;
    for (const PromptPartId &part : parts) {
        text.append(text.empty() ? "" : ",").append(part.text());
    }
    return text;
}

}
