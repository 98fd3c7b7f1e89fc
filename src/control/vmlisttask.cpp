#include "control/vmlisttask.h"

#include <boost/leaf/handle_errors.hpp>

#include <utility>

namespace Lentillock
{

VmListTask::VmListTask(std::unique_ptr<VmList> list, milliseconds interval, Metrics &metrics, Callback callback)
    : vmList_(std::move(list))
    , interval_(interval)
    , metrics_(metrics)
    , callback_(std::move(callback))
{
    thread_ = std::thread([this] { run(); });
}

VmListTask::~VmListTask()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    stopRequested_.notify_all();
    thread_.join();
}

void VmListTask::run()
{
    while (true) {
        fetchOnce();
        std::unique_lock lock(mutex_);
        if (stopRequested_.wait_for(lock, interval_, [this] { return stopping_; })) {
            return;
        }
    }
}

void VmListTask::fetchOnce()
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(vms, vmList_->fetch());
            metrics_.increment("lentillock_vm_list_reads_total", {{"result", "ok"}});
            callback_(std::move(vms));
            return {};
        },
        [this] {
            metrics_.increment("lentillock_vm_list_reads_total", {{"result", "failed"}});
        });
}

}
