#pragma once

#include "dispatch/dispatcher.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace Lentillock
{

/// Measures what the dispatcher itself costs: no endpoint, claim or socket is involved, and the answers are ready in memory.
class DispatchCost
{
public:
    struct Result {
        double nanosecondsPerRequest = 0; ///< Arrival, start, first chunk and end.
        double nanosecondsPerChunk = 0; ///< Each further chunk.
    };

    DispatchCost(std::size_t endpoints, std::size_t concurrentRequests, std::uint64_t seed);

    /// Runs batches of concurrent requests until @p requests have been answered.
    Result measure(std::size_t requests);

private:
    void runBatch();
    std::vector<AttemptId> start();
    void stream(const std::vector<AttemptId> &attempts, std::uint64_t begin, std::uint64_t end);
    void finish(const std::vector<AttemptId> &attempts);

    std::size_t concurrentRequests_;
    std::unique_ptr<Dispatcher> dispatcher_;
    TimePoint now_{1h};
    std::uint64_t nextRequest_ = 0;
    std::chrono::nanoseconds requestTime_{0};
    std::chrono::nanoseconds chunkTime_{0};
};

}
