#include "bench/eventqueue.h"

#include <algorithm>
#include <utility>

namespace Lentillock
{

void EventQueue::at(TimePoint time, Callback callback)
{
    events_.push({std::max(time, now_), sequence_++, std::move(callback)});
}

void EventQueue::after(Duration delay, Callback callback)
{
    at(now_ + delay, std::move(callback));
}

void EventQueue::runUntil(TimePoint end)
{
    while (!events_.empty() && events_.top().time <= end) {
        // top() returns a const reference. Moving from it is safe because the event is popped immediately.
        Event event = std::move(const_cast<Event &>(events_.top()));
        events_.pop();
        now_ = event.time;
        event.callback();
    }
    now_ = std::max(now_, end);
}

TimePoint EventQueue::now() const
{
    return now_;
}

}
