#include "claims/idempotencykey.h"

#include <array>
#include <charconv>

namespace Lentillock
{

namespace
{

constexpr std::size_t TextLength = 36;
constexpr std::array<std::size_t, 4> DashPositions{8, 13, 18, 23};
constexpr unsigned TimeShift = 16;
constexpr std::uint64_t VersionMask = 0xF000;
constexpr std::uint64_t Version7 = 0x7000;
constexpr std::uint64_t VariantMask = 0xC000000000000000;
constexpr std::uint64_t Variant = 0x8000000000000000;
constexpr int Hexadecimal = 16;

std::optional<std::uint64_t> parseDigits(std::string_view digits)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, Hexadecimal);
    if (error != std::errc() || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return value;
}

}

std::optional<IdempotencyKey> IdempotencyKey::parse(std::string_view text)
{
    if (text.size() != TextLength) {
        return std::nullopt;
    }
    std::string digits;
    std::size_t copied = 0;
    for (const std::size_t dash : DashPositions) {
        if (text[dash] != '-') {
            return std::nullopt;
        }
        digits += text.substr(copied, dash - copied);
        copied = dash + 1;
    }
    digits += text.substr(copied);
    const auto high = parseDigits(std::string_view(digits).substr(0, digits.size() / 2));
    const auto low = parseDigits(std::string_view(digits).substr(digits.size() / 2));
    if (!high || !low || (*high & VersionMask) != Version7 || (*low & VariantMask) != Variant) {
        return std::nullopt;
    }
    IdempotencyKey key;
    key.high_ = *high;
    key.low_ = *low;
    return key;
}

IdempotencyKey IdempotencyKey::create(WallTime time, std::uint64_t random)
{
    IdempotencyKey key;
    key.high_ = (static_cast<std::uint64_t>(time.time_since_epoch().count()) << TimeShift) | Version7;
    key.low_ = (random & ~VariantMask) | Variant;
    return key;
}

WallTime IdempotencyKey::time() const
{
    return WallTime(milliseconds(static_cast<std::int64_t>(high_ >> TimeShift)));
}

std::size_t IdempotencyKey::hash() const
{
    // The low half is random except for its two highest bits.
    constexpr std::uint64_t multiplier = 0x9E3779B97F4A7C15;
    return (high_ ^ low_) * multiplier;
}

std::string IdempotencyKey::toText() const
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const std::uint64_t half : {high_, low_}) {
        for (int shift = 60; shift >= 0; shift -= 4) {
            text += digits[(half >> static_cast<unsigned>(shift)) & 0xFU];
        }
    }
    for (const std::size_t dash : DashPositions) {
        text.insert(dash, 1, '-');
    }
    return text;
}

}
