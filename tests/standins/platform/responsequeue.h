#pragma once

#include "base/time.h"

#include <condition_variable>
#include <functional>
#include <list>
#include <mutex>
#include <thread>

namespace Lentillock
{

/// Queue of tasks that wait for a time or an event without blocking the threads of the HTTP server. Runs all tasks on its own thread.
class ResponseQueue
{
public:
    /// Returns true when it is finished. Called on each notify(), and at or after its due time.
    using Task = std::function<bool(TimePoint now)>;

    ResponseQueue();
    ResponseQueue(const ResponseQueue &) = delete;
    ResponseQueue &operator=(const ResponseQueue &) = delete;
    ~ResponseQueue();

    void add(TimePoint due, Task task);

    /// Wakes the thread to run all tasks, because a condition that they wait for may have changed.
    void notify();

private:
    struct Item {
        TimePoint due;
        Task task;
    };

    void run();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::list<Item> items_;
    bool notified_ = false;
    bool stopping_ = false;
    std::thread thread_;
};

}
