#pragma once

#include "base/time.h"

#include <cstddef>
#include <deque>
#include <mutex>

namespace Lentillock
{

/// Sliding-window rate limiter of the weight store: limits the fetches in any one minute. Thread-safe.
class WeightFetchLimiter
{
public:
    explicit WeightFetchLimiter(std::size_t perMinute);

    /// Returns zero and counts the fetch if it is allowed, otherwise returns the time to wait.
    milliseconds tryFetch(TimePoint now);

private:
    std::size_t perMinute_;
    std::mutex mutex_;
    std::deque<TimePoint> fetches_;
};

}
