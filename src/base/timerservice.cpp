#include "base/timerservice.h"

#include <utility>

namespace Lentillock
{

TimerService::Subscription TimerService::subscribeOnce(TimePoint due, Callback callback)
{
    return add(due, {Duration::zero(), std::move(callback)});
}

TimerService::Subscription TimerService::subscribePeriodic(TimePoint firstDue, Duration period, Callback callback)
{
    return add(firstDue, {period, std::move(callback)});
}

TimerService::Subscription TimerService::add(TimePoint due, Timer timer)
{
    const Subscription subscription = nextSubscription_++;
    dueTimes_.emplace(subscription, due);
    timers_.emplace(Key(due, subscription), std::move(timer));
    return subscription;
}

void TimerService::cancel(Subscription subscription)
{
    const auto due = dueTimes_.find(subscription);
    if (due == dueTimes_.end()) {
        return;
    }
    timers_.erase(Key(due->second, subscription));
    dueTimes_.erase(due);
}

void TimerService::advance(TimePoint now)
{
    while (!timers_.empty() && timers_.begin()->first.first <= now) {
        auto node = timers_.extract(timers_.begin());
        const auto [due, subscription] = node.key();
        const Callback callback = node.mapped().callback;
        const Duration period = node.mapped().period;
        if (period > Duration::zero()) {
            const auto missed = (now - due) / period;
            const TimePoint next = due + (missed + 1) * period;
            node.key() = Key(next, subscription);
            timers_.insert(std::move(node));
            dueTimes_[subscription] = next;
        } else {
            dueTimes_.erase(subscription);
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
