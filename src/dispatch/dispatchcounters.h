#pragma once

#include <cstdint>

namespace Lentillock
{

/// Counters of a dispatcher since its start.
struct DispatchCounters {
    std::uint64_t requests = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t failedNotRun = 0;
    std::uint64_t failedUnknown = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t retriesRefused = 0;
    std::uint64_t continuations = 0;
    std::uint64_t probes = 0;
    std::uint64_t resumes = 0;
    std::uint64_t groups = 0;
    std::uint64_t groupsRefused = 0;
    std::uint64_t foreignMessages = 0; ///< Messages that refer to no active attempt, claim or allocation.
    std::uint64_t repeatedChunks = 0;
    std::uint64_t overlappingChunks = 0;
    std::uint64_t chunksAhead = 0;
    std::uint64_t malformedChunks = 0;
    std::uint64_t repeatedArrivals = 0;
    std::uint64_t lateGrants = 0; ///< Reservations granted after their release; they are released again.
};

}
