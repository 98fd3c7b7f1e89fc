#pragma once

#include "bench/capacity/samplefleet.h"

namespace Lentillock
{

/// Prints the size of one VM's endpoint subset and the CPU time to select it, and the CPU time, memory and message size of tracking the subset
/// and of one view of it with @p vms members.
void measureFleetCost(const SampleSize &size, std::size_t vms, std::uint64_t seed);

}
