#pragma once

#include "dispatch/servingview.h"
#include "membership/member.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace Lentillock
{

/// State of the fleet task at one point in time. Immutable once published.
struct FleetSnapshot {
    std::uint64_t sequence = 0; ///< Increases with each snapshot.
    std::vector<EndpointState> endpoints;
    std::vector<Member> members;
    std::vector<VmId> liveVms;
    Member self;
    std::uint64_t refutations = 0;
    std::size_t monitoredEngines = 0; ///< Number of engines whose memory this VM reclaims.
    std::uint64_t releasedAllocations = 0; ///< Number of allocations released since the process started.
};

using FleetSnapshotPtr = std::shared_ptr<const FleetSnapshot>;

}
