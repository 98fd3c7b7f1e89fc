#pragma once

#include "base/identifier.h"

#include <cstdint>
#include <vector>

namespace Lentillock
{

/// Number of VMs that are tried in turn as the writer of a shard. The standby writers read the shard's stream too, so that they can take over
/// at once.
constexpr std::size_t WritersPerShard = 2;

/// Returns the VMs that may write a claim shard, the preferred one first. VMs with the same view of live VMs get the same result; different
/// views only cost extra appends.
std::vector<VmId> claimWriters(std::uint32_t shard, const std::vector<VmId> &liveVms, std::size_t count = WritersPerShard);

}
