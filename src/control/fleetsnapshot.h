#pragma once

#include "dispatch/servingview.h"
#include "membership/member.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace Lentillock
{

/// State of the fleet task at one moment. Never modified after it has been built.
struct FleetSnapshot {
    std::uint64_t sequence = 0; ///< Rises with each snapshot.
    std::vector<EndpointState> endpoints;
    std::vector<Member> members;
    std::vector<VmId> liveVms;
    Member self;
    std::uint64_t refutations = 0;
    std::size_t reclaimedEngines = 0; ///< Engines whose memory this VM watches.
    std::uint64_t reclaimed = 0; ///< Allocations released so far.
};

using FleetSnapshotPtr = std::shared_ptr<const FleetSnapshot>;

}
