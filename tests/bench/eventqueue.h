#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace Lentillock
{

/// Event queue of a discrete-event simulation in virtual time. Events with equal times run in the order in which they were added.
class EventQueue
{
public:
    using Callback = std::function<void()>;

    void at(TimePoint time, Callback callback);
    void after(Duration delay, Callback callback);

    /// Runs all events up to and including @p end, and advances the virtual time to @p end.
    void runUntil(TimePoint end);

    [[nodiscard]] TimePoint now() const;

private:
    struct Event {
        TimePoint time;
        std::uint64_t sequence = 0;
        Callback callback;

        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : sequence > other.sequence;
        }
    };

    TimePoint now_{std::chrono::hours(1)};
    std::uint64_t sequence_ = 0;
    std::priority_queue<Event> events_;
};

}
