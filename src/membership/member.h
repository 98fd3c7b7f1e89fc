#pragma once

#include "base/identifier.h"

#include <compare>
#include <cstdint>
#include <string>

namespace Lentillock
{

/// In ascending precedence: of two statements about the same incarnation the later state wins.
enum class MemberStatus {
    Alive,
    Suspect,
    Leaving,
    Dead,
};

/// What is known of the control process of a VM.
struct Member {
    VmId id;
    std::uint64_t incarnation = 0; ///< Raised by the member itself at each start and to contradict a suspicion.
    MemberStatus status = MemberStatus::Alive;
    std::string gossipAddress;
    std::string controlAddress;
    std::string entryAddress; ///< Address of the VM's Entry service; empty if no entry process is connected.
    std::uint64_t entryIncarnation = 0;
    ZoneId zone;
    std::uint64_t configVersion = 0;
    std::uint32_t rulesVersion = 0;
    bool ready = false;

    auto operator<=>(const Member &) const = default;
};

}
