#pragma once

#include "base/time.h"

#include <functional>
#include <map>
#include <optional>

namespace Lentillock::Scenarios
{

/// Event queue with a virtual clock. Events run in order of their time; events with the same time run in the order in which they were scheduled.
class EventQueue
{
public:
    using Event = std::function<void()>;

    void schedule(Duration delay, Event event);

    /// Advances the clock to the next event and runs it. If there is none up to @p limit, only advances the clock to @p limit.
    void runNext(TimePoint limit);

    [[nodiscard]] TimePoint now() const;

private:
    // Starts above zero so that time points before the start of the scenario exist.
    TimePoint now_{1h};
    std::multimap<TimePoint, Event> events_;
};

}
