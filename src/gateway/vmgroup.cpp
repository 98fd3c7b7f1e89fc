#include "gateway/vmgroup.h"

#include "base/hash.h"

#include <algorithm>

namespace Lentillock
{

namespace
{

/// Fleets up to this size form one group. A digest for each zone would add latency and save little traffic.
constexpr std::size_t MaxSingleGroupFleet = 16;

/// Each VM of a group receives the reports of all others, so that their number is limited.
constexpr std::size_t MaxGroupSize = 48;

constexpr unsigned HashBits = 64;

}

std::uint32_t zoneHash(const ZoneId &zone)
{
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(stableHash(zone.value())));
}

bool VmGroup::overlaps(const VmGroup &other) const
{
    if (zone == 0 || other.zone == 0) {
        return true;
    }
    const std::uint8_t commonBits = std::min(splitBits, other.splitBits);
    return zone == other.zone && part >> (splitBits - commonBits) == other.part >> (other.splitBits - commonBits);
}

VmGroup groupOf(std::uint64_t vmHash, std::uint32_t zone, std::size_t zoneVmCount, std::size_t fleetVmCount)
{
    if (fleetVmCount <= MaxSingleGroupFleet) {
        return {};
    }
    VmGroup group{.zone = zone};
    while (group.splitBits < MaxSplitBits && zoneVmCount > MaxGroupSize << group.splitBits) {
        ++group.splitBits;
    }
    // The leading bits, so that a group of a zone that has grown splits into two and no VM moves to another one.
    group.part = group.splitBits == 0 ? 0 : static_cast<std::uint16_t>(vmHash >> (HashBits - group.splitBits));
    return group;
}

}
