#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace Lentillock
{

/// Calls subscribers at their due times. Owned and driven by one task, which passes in the current time.
class TimerService
{
public:
    using Callback = std::function<void(TimePoint now)>;
    using Subscription = std::uint64_t;

    /// Calls @p callback once when @p due has been reached.
    Subscription subscribeOnce(TimePoint due, Callback callback);

    /// Calls @p callback every @p period, first at @p firstDue. After a long pause missed periods are skipped, not made up for.
    Subscription subscribePeriodic(TimePoint firstDue, Duration period, Callback callback);

    void cancel(Subscription subscription);

    /// Calls all subscribers that are due. Callbacks may subscribe and cancel.
    void advance(TimePoint now);

    [[nodiscard]] std::optional<TimePoint> nextDue() const;

private:
    struct Timer {
        Duration period = Duration::zero();
        Callback callback;
    };
    using Key = std::pair<TimePoint, Subscription>;

    Subscription add(TimePoint due, Timer timer);

    std::map<Key, Timer> timers_;
    std::map<Subscription, TimePoint> dueTimes_;
    Subscription nextSubscription_ = 1;
};

}
