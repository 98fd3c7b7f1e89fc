#pragma once

#include "bench/capacity/samplefleet.h"

namespace Lentillock
{

/// Prints size, CPU time and memory of the serving document with @p size, of its fold and of one change.
void measureConfig(const SampleSize &size, std::uint64_t seed);

/// Prints CPU time and memory of the limits of @p size workspaces over @p vms VMs.
void measureLimits(const SampleSize &size, std::size_t vms, std::uint64_t seed);

}
