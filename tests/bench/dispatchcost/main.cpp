#include "bench/dispatchcost/dispatchcost.h"

#include <algorithm>
#include <array>
#include <cstdio>

/// Prints the median, minimum and maximum CPU time of the dispatcher per request and per chunk over five runs for each fleet size.
int main()
{
    using namespace Lentillock;
    constexpr std::uint64_t seed = 20261204;
    constexpr std::size_t concurrentRequests = 200;
    constexpr std::size_t requests = 5000;
    std::printf("seed %llu, %zu concurrent requests, 100 chunks each, 1 thread, CPU time\n", static_cast<unsigned long long>(seed), concurrentRequests);
    for (const std::size_t endpoints : {17, 100, 300}) {
        DispatchCost cost(endpoints, concurrentRequests, seed);
        cost.measure(requests / 10); // Warms up the caches and the allocator.
        std::array<double, 5> perRequest{};
        std::array<double, 5> perChunk{};
        for (std::size_t run = 0; run < perRequest.size(); ++run) {
            const DispatchCost::Result result = cost.measure(requests);
            perRequest[run] = result.nanosecondsPerRequest;
            perChunk[run] = result.nanosecondsPerChunk;
        }
        std::sort(perRequest.begin(), perRequest.end());
        std::sort(perChunk.begin(), perChunk.end());
        std::printf("%zu endpoints: %.0f ns per request (%.0f to %.0f), %.0f ns per further chunk (%.0f to %.0f)\n",
                    endpoints,
                    perRequest[2],
                    perRequest.front(),
                    perRequest.back(),
                    perChunk[2],
                    perChunk.front(),
                    perChunk.back());
    }
    return 0;
}
