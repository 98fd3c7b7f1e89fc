#pragma once

#include "base/time.h"

#include <condition_variable>
#include <functional>
#include <list>
#include <mutex>
#include <thread>

namespace Lentillock
{

/// Work that waits for a time or an event, so that no thread of the HTTP server is blocked. Runs all work on a thread of its own.
class ResponseQueue
{
public:
    /// Returns true when it is done. Called at each event, and at or after its due time.
    using Work = std::function<bool(TimePoint now)>;

    ResponseQueue();
    ResponseQueue(const ResponseQueue &) = delete;
    ResponseQueue &operator=(const ResponseQueue &) = delete;
    ~ResponseQueue();

    void add(TimePoint due, Work work);

    /// Something has changed that work may wait for.
    void notify();

private:
    struct Item {
        TimePoint due;
        Work work;
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
