#include "bench/capacity/configcost.h"
#include "bench/capacity/fleetcost.h"

#include <cstdio>
#include <thread>

/// Prints CPU time, memory and message sizes of the decision objects for sizes that grow up to the design size.
int main()
{
    using namespace Lentillock;
    constexpr std::uint64_t seed = 20261204;
    std::printf("cores=%u seed=%llu\n", std::thread::hardware_concurrency(), static_cast<unsigned long long>(seed));
    measureFleet({10, 1, 3, 17}, 7, seed);
    measureFleet({10, 3, 8, 590}, 81, seed);
    measureFleet({10, 22, 16, 2950}, 405, seed);
    measureFleet({10, 22, 16, 5900}, 810, seed);
    // In rising order, since the peak of the resident memory never falls.
    for (const std::size_t workspaces : {450, 4500, 45000}) {
        measureConfig({.workspaces = workspaces}, seed);
        measureLimits({.workspaces = workspaces}, 810, seed);
    }
    return 0;
}
