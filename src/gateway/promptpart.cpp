#include "gateway/promptpart.h"

#include "base/hash.h"

#include <charconv>
#include <utility>

namespace Lentillock
{

namespace
{

constexpr int HexadecimalBase = 16;

std::string hexadecimal(std::uint64_t value)
{
    std::string digits(2 * sizeof(value), '\0');
    const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), value, HexadecimalBase);
    digits.resize(static_cast<std::size_t>(end - digits.data()));
    return digits;
}

}

PromptIdentity::PromptIdentity(PromptParts sharedParts, std::uint64_t promptHash)
    : parts(std::move(sharedParts))
    , hash(promptHash)
{
}

PromptIdentity::PromptIdentity(std::initializer_list<PromptPartId> sharedParts)
    : parts(sharedParts)
{
}

bool PromptIdentity::isEmpty() const
{
    return parts.empty() && hash == 0;
}

std::string promptHashText(std::uint64_t hash)
{
    return hexadecimal(hash);
}

std::string PromptPartId::text() const
{
    return hexadecimal(value);
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
