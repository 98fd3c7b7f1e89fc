#pragma once

#include "base/time.h"

#include <cstddef>
#include <deque>
#include <mutex>

namespace Lentillock
{

/// Rate limit of the weight store: a number of fetches in any minute. Thread-safe.
class WeightLimiter
{
public:
    explicit WeightLimiter(std::size_t perMinute);

    /// Counts a fetch and returns zero, or returns how long to wait without counting it.
    milliseconds tryFetch(TimePoint now);

private:
    std::size_t perMinute_;
    std::mutex mutex_;
    std::deque<TimePoint> fetches_;
};

}
