#pragma once

#include "base/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Lentillock
{

/// A UUID of version 7, which a caller chooses for a non-idempotent request. Its first 48 bits are the time of its creation.
class IdempotencyKey
{
public:
    IdempotencyKey() = default;

    /// Accepts the canonical form with digits in either case, so that two spellings of one UUID are one key. Nothing if @p text is not a UUID version 7.
    static std::optional<IdempotencyKey> parse(std::string_view text);

    /// A key with the given creation time and random bits.
    static IdempotencyKey create(WallTime time, std::uint64_t random);

    [[nodiscard]] WallTime time() const;

    /// Canonical form with lower-case digits.
    [[nodiscard]] std::string toText() const;

    /// Hash for tables within one process.
    [[nodiscard]] std::size_t hash() const;

    auto operator<=>(const IdempotencyKey &) const = default;

private:
    std::uint64_t high_ = 0;
    std::uint64_t low_ = 0;
};

}
