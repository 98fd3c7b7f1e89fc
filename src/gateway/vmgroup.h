#pragma once

#include "base/identifier.h"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace Lentillock
{

/// Maximum number of groups per zone, as a power of two.
inline constexpr std::uint8_t MaxSplitBits = 8;

/// Hash of a zone ID that identifies the zone in load reports. Never 0.
std::uint32_t zoneHash(const ZoneId &zone);

/// A set of VMs that send their load reports to each other directly: the whole fleet if it is small, otherwise a zone or a part of a zone.
struct VmGroup {
    std::uint32_t zone = 0; ///< Hash of the zone; 0 for the whole fleet.
    std::uint8_t splitBits = 0; ///< The zone is divided into 2^splitBits groups.
    std::uint16_t part = 0; ///< Selects one of them.

    auto operator<=>(const VmGroup &) const = default;

    /// Whether a VM can belong to both groups, because their sizes were derived from different VM lists.
    [[nodiscard]] bool overlaps(const VmGroup &other) const;
};

/// Returns the group of the VM with hash @p vmHash in @p zone, which has @p zoneVmCount of the @p fleetVmCount VMs of the fleet.
VmGroup groupOf(std::uint64_t vmHash, std::uint32_t zone, std::size_t zoneVmCount, std::size_t fleetVmCount);

}
