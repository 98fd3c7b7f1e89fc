#pragma once

#include "base/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Lentillock
{

/// Key that a caller chooses for a non-idempotent request: a UUID of version 7, whose first 48 bits are its creation time.
class IdempotencyKey
{
public:
    IdempotencyKey() = default;

    /// Parses the canonical form with digits in either case, so that both spellings of a UUID are the same key. Returns nothing if @p text is not
    /// a UUID of version 7.
    static std::optional<IdempotencyKey> parse(std::string_view text);

    /// Creates a key from a creation time and random bits.
    static IdempotencyKey create(WallTime time, std::uint64_t random);

    /// Creation time.
    [[nodiscard]] WallTime time() const;

    /// Returns the canonical form with lower-case digits.
    [[nodiscard]] std::string toText() const;

    /// Hash for tables within one process.
    [[nodiscard]] std::size_t hash() const;

    auto operator<=>(const IdempotencyKey &) const = default;

private:
    std::uint64_t high_ = 0;
    std::uint64_t low_ = 0;
};

}
