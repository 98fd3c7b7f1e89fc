#pragma once

#include "base/identifier.h"

#include <compare>
#include <cstdint>
#include <string>

namespace Lentillock
{

/// In ascending precedence: of two updates with the same incarnation, the one with the greater status wins.
enum class MemberStatus {
    Alive,
    Suspect,
    Leaving,
    Dead,
};

/// Last known state of the control process of a VM.
struct Member {
    VmId id;
    std::uint64_t incarnation = 0; ///< Raised only by the member itself: at each start, with each change it announces, and to refute an update about it.
    MemberStatus status = MemberStatus::Alive;
    std::string gossipAddress;
    std::string controlAddress;
    std::string entryAddress; ///< Address of the Entry service on the VM; empty if no entry process is connected.
    std::uint64_t entryIncarnation = 0;
    ZoneId zone;
    std::uint64_t configVersion = 0;
    std::uint32_t rulesVersion = 0;
    bool ready = false;

    auto operator<=>(const Member &) const = default;
};

}
