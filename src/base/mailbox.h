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

/// Queue of messages to a task. Any thread may post; only the task that owns the mailbox receives.
template<typename Message>
class Mailbox
{
public:
    /// Called after each post, outside of the lock. Lets a task that waits on sockets be woken.
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

    /// Returns all messages that are queued now, without waiting.
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
