#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace Lentillock
{

/// Invokes callbacks at their due times. Owned by one task, which drives it with the current time. Not thread-safe.
class TimerService
{
public:
    using Callback = std::function<void(TimePoint now)>;
    using TimerId = std::uint64_t;

    /// Calls @p callback once, when @p due is reached.
    TimerId scheduleOnce(TimePoint due, Callback callback);

    /// Calls @p callback every @p period, first at @p firstDue. Periods missed during a pause are skipped.
    TimerId schedulePeriodic(TimePoint firstDue, Duration period, Callback callback);

    void cancel(TimerId timerId);

    /// Calls the callbacks of all due timers. Callbacks may schedule and cancel timers.
    void advance(TimePoint now);

    [[nodiscard]] std::optional<TimePoint> nextDue() const;

private:
    struct Timer {
        Duration period = Duration::zero();
        Callback callback;
    };
    using Key = std::pair<TimePoint, TimerId>;

    TimerId add(TimePoint due, Timer timer);

    std::map<Key, Timer> timers_;
    std::map<TimerId, TimePoint> dueTimes_;
    TimerId nextTimerId_ = 1;
};

}
