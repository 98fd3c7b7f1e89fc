#pragma once

#include "base/time.h"

#include <functional>
#include <map>
#include <optional>

namespace Lentillock::Scenarios
{

/// Virtual time with events in order of time and, at the same time, of scheduling.
class EventQueue
{
public:
    using Event = std::function<void()>;

    void schedule(Duration delay, Event event);

    /// Moves time to the next event and runs it, unless that is after @p limit; then moves time to @p limit.
    void runNext(TimePoint limit);

    [[nodiscard]] TimePoint now() const;

private:
    // Starts above zero so that a time point before the start exists.
    TimePoint now_{1h};
    std::multimap<TimePoint, Event> events_;
};

}
