#pragma once

#include "bench/capacity/samplefleet.h"

namespace Lentillock
{

/// Prints the size, CPU time and memory of a serving document of @p size, of the ConfigStateMachine that holds it and of one change to it.
void measureConfigCost(const SampleSize &size, std::uint64_t seed);

/// Prints the CPU time and memory of WorkspaceLimits for the workspaces of @p size, which are shared by @p vms VMs.
void measureLimitsCost(const SampleSize &size, std::size_t vms, std::uint64_t seed);

}
