#pragma once

#include <compare>
#include <cstdint>

namespace Lentillock
{

/// Position in a topic of the store. After the store has come back from an older copy, offsets are given out again, and the era is higher.
struct StorePosition {
    std::uint32_t era = 0; ///< 0: unknown.
    std::uint32_t offset = 0; ///< Offset after the last record that has been read.

    auto operator<=>(const StorePosition &) const = default;
};

}
