#include "standins/platform/responsequeue.h"

#include <algorithm>

namespace Lentillock
{

namespace
{

/// Delay before a task that did not finish at its due time, because a fault was extended, runs again.
constexpr Duration RetryInterval = 10ms;

}

ResponseQueue::ResponseQueue()
    : thread_([this] { run(); })
{
}

ResponseQueue::~ResponseQueue()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void ResponseQueue::add(TimePoint due, Task task)
{
    {
        const std::lock_guard lock(mutex_);
        items_.push_back({due, std::move(task)});
        notified_ = true;
    }
    changed_.notify_all();
}

void ResponseQueue::notify()
{
    {
        const std::lock_guard lock(mutex_);
        notified_ = true;
    }
    changed_.notify_all();
}

void ResponseQueue::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        TimePoint next = std::chrono::steady_clock::now() + 1h;
        for (const Item &item : items_) {
            next = std::min(next, item.due);
        }
        changed_.wait_until(lock, next, [this] { return notified_ || stopping_; });
        notified_ = false;
        std::list<Item> items;
        items.swap(items_);
        lock.unlock();
        const TimePoint now = std::chrono::steady_clock::now();
        items.remove_if([now](const Item &item) { return item.task(now); });
        for (Item &item : items) {
            item.due = std::max(item.due, now + RetryInterval);
        }
        lock.lock();
        items_.splice(items_.begin(), items);
    }
}

}
