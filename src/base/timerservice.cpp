#include "base/timerservice.h"

#include <utility>

namespace Lentillock
{

TimerService::TimerId TimerService::scheduleOnce(TimePoint due, Callback callback)
{
    return add(due, {Duration::zero(), std::move(callback)});
}

TimerService::TimerId TimerService::schedulePeriodic(TimePoint firstDue, Duration period, Callback callback)
{
    return add(firstDue, {period, std::move(callback)});
}

TimerService::TimerId TimerService::add(TimePoint due, Timer timer)
{
    const TimerId timerId = nextTimerId_++;
    dueTimes_.emplace(timerId, due);
    timers_.emplace(Key(due, timerId), std::move(timer));
    return timerId;
}

void TimerService::cancel(TimerId timerId)
{
    const auto due = dueTimes_.find(timerId);
    if (due == dueTimes_.end()) {
        return;
    }
    timers_.erase(Key(due->second, timerId));
    dueTimes_.erase(due);
}

void TimerService::advance(TimePoint now)
{
    while (!timers_.empty() && timers_.begin()->first.first <= now) {
        auto node = timers_.extract(timers_.begin());
        const auto [due, timerId] = node.key();
        const Callback callback = node.mapped().callback;
        const Duration period = node.mapped().period;
        if (period > Duration::zero()) {
            const auto missed = (now - due) / period;
            const TimePoint next = due + (missed + 1) * period;
            node.key() = Key(next, timerId);
            timers_.insert(std::move(node));
            dueTimes_[timerId] = next;
        } else {
            dueTimes_.erase(timerId);
        }
        callback(now);
    }
}

std::optional<TimePoint> TimerService::nextDue() const
{
    if (timers_.empty()) {
        return std::nullopt;
    }
    return timers_.begin()->first.first;
}

}
