#pragma once

#include "base/metrics.h"
#include "base/time.h"
#include "platform/vmlist.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace Lentillock
{

/// Task that reads the platform's VM list periodically. A failed read is counted in a metric and the last list stays in use.
class VmListTask
{
public:
    using Callback = std::function<void(std::vector<VmListEntry>)>;

    VmListTask(std::unique_ptr<VmList> list, milliseconds interval, Metrics &metrics, Callback callback);
    VmListTask(const VmListTask &) = delete;
    VmListTask &operator=(const VmListTask &) = delete;
    ~VmListTask();

private:
    void run();
    void fetchOnce();

    std::unique_ptr<VmList> vmList_;
    milliseconds interval_;
    Metrics &metrics_;
    Callback callback_;
    std::mutex mutex_;
    std::condition_variable stopRequested_;
    bool stopping_ = false;
    std::thread thread_;
};

}
