#pragma once

#include "bench/capacity/samplefleet.h"

namespace Lentillock
{

/// Prints the subset's size and CPU time, and the CPU time and bytes of observing it and of one view of it with @p vms members.
void measureFleet(const SampleSize &size, std::size_t vms, std::uint64_t seed);

}
