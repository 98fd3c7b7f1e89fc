#include "standins/platform/weightfetchlimiter.h"

namespace Lentillock
{

WeightFetchLimiter::WeightFetchLimiter(std::size_t perMinute)
    : perMinute_(perMinute)
{
}

milliseconds WeightFetchLimiter::tryFetch(TimePoint now)
{
    const std::lock_guard lock(mutex_);
    while (!fetches_.empty() && fetches_.front() + 1min <= now) {
        fetches_.pop_front();
    }
    if (fetches_.size() < perMinute_) {
        fetches_.push_back(now);
        return 0ms;
    }
    return fetches_.empty() ? milliseconds(1min) : std::chrono::ceil<milliseconds>(fetches_.front() + 1min - now);
}

}
