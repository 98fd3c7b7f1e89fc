#pragma once

#include "dispatch/dispatcher.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace Lentillock
{

/// Measures the CPU time of the dispatcher alone: it uses no endpoints, claims or sockets, and the answer chunks are generated in memory.
class DispatchCost
{
public:
    struct Result {
        double nanosecondsPerRequest = 0; ///< CPU time of the arrival, the start, the first chunk and the end.
        double nanosecondsPerChunk = 0; ///< CPU time of each chunk after the first.
    };

    DispatchCost(std::size_t endpoints, std::size_t concurrentRequests, std::uint64_t seed);

    /// Runs batches of concurrent requests until at least @p requests have been answered.
    Result measure(std::size_t requests);

private:
    void runBatch();
    std::vector<AttemptId> startRequests();
    void streamChunks(const std::vector<AttemptId> &attempts, std::uint64_t begin, std::uint64_t end);
    void finishRequests(const std::vector<AttemptId> &attempts);

    std::size_t concurrentRequests_;
    std::unique_ptr<Dispatcher> dispatcher_;
    TimePoint now_{1h};
    std::uint64_t nextRequest_ = 0;
    std::chrono::nanoseconds requestTime_{0};
    std::chrono::nanoseconds chunkTime_{0};
};

}
