#include "scenarios/eventqueue.h"

#include <utility>

namespace Lentillock::Scenarios
{

void EventQueue::schedule(Duration delay, Event event)
{
    events_.emplace(now_ + delay, std::move(event));
}

void EventQueue::runNext(TimePoint limit)
{
    if (events_.empty() || events_.begin()->first > limit) {
        now_ = std::max(now_, limit);
        return;
    }
    now_ = events_.begin()->first;
    const Event event = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    event();
}

TimePoint EventQueue::now() const
{
    return now_;
}

}
