#pragma once

#include "base/identifier.h"

#include <cstdint>
#include <vector>

namespace Lentillock
{

/// How many VMs are tried in turn as the writer of a shard. The later ones follow the shard, so that they can take over at once.
constexpr std::size_t WritersPerShard = 2;

/// The VMs that write a claim shard, preferred one first. All VMs with the same view agree; different views only cost extra appends.
std::vector<VmId> claimWriters(std::uint32_t shard, const std::vector<VmId> &liveVms, std::size_t count = WritersPerShard);

}
