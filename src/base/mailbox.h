#pragma once

#include "base/time.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>

namespace Lentillock
{

/// Message queue of a task with multiple producers and one consumer: any thread may post, only the task that owns the mailbox receives.
template<typename Message>
class Mailbox
{
public:
    /// Sets a function that is called after each post, outside the lock. It wakes up an owner that waits on sockets.
    void setWakeUp(std::function<void()> wakeUp)
    {
        const std::lock_guard lock(mutex_);
        wakeUp_ = std::move(wakeUp);
    }

    void post(Message message)
    {
        std::function<void()> wakeUp;
        {
            const std::lock_guard lock(mutex_);
            messages_.push_back(std::move(message));
            wakeUp = wakeUp_;
        }
        available_.notify_one();
        if (wakeUp) {
            wakeUp();
        }
    }

    /// Returns all queued messages without waiting.
    std::deque<Message> takeAll()
    {
        const std::lock_guard lock(mutex_);
        return std::exchange(messages_, {});
    }

    /// Waits until a message arrives or @p deadline has passed, then returns all queued messages.
    std::deque<Message> waitUntil(TimePoint deadline)
    {
        std::unique_lock lock(mutex_);
        available_.wait_until(lock, deadline, [this] { return !messages_.empty(); });
        return std::exchange(messages_, {});
    }

private:
    std::mutex mutex_;
    std::condition_variable available_;
    std::deque<Message> messages_;
    std::function<void()> wakeUp_;
};

}
