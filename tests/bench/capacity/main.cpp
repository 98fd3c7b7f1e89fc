#include "bench/capacity/configcost.h"
#include "bench/capacity/fleetcost.h"

#include <cstdio>
#include <thread>

/// Prints the CPU time, memory and message sizes of the configuration, limits and fleet classes for increasing sizes up to the design size.
int main()
{
    using namespace Lentillock;
    constexpr std::uint64_t seed = 20261204;
    std::printf("cores=%u seed=%llu\n", std::thread::hardware_concurrency(), static_cast<unsigned long long>(seed));
    measureFleetCost({10, 1, 3, 17}, 7, seed);
    measureFleetCost({10, 3, 8, 590}, 81, seed);
    measureFleetCost({10, 22, 16, 2950}, 405, seed);
    measureFleetCost({10, 22, 16, 5900}, 810, seed);
    // In ascending order, since the peak resident memory of a process never decreases.
    for (const std::size_t workspaces : {450, 4500, 45000}) {
        measureConfigCost({.workspaces = workspaces}, seed);
        measureLimitsCost({.workspaces = workspaces}, 810, seed);
    }
    return 0;
}
