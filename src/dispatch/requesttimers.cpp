#include "dispatch/requesttimers.h"

namespace Lentillock
{

void RequestTimers::set(const RequestId &request, TimePoint due)
{
    const auto [known, inserted] = times_.try_emplace(request, due);
    if (!inserted) {
        if (known->second <= due) {
            return;
        }
        order_.erase({known->second, request});
        known->second = due;
    }
    order_.emplace(due, request);
}

void RequestTimers::remove(const RequestId &request)
{
    if (const auto known = times_.find(request); known != times_.end()) {
        order_.erase({known->second, request});
        times_.erase(known);
    }
}

std::vector<RequestId> RequestTimers::takeExpired(TimePoint now)
{
    std::vector<RequestId> due;
    while (!order_.empty() && order_.begin()->first <= now) {
        due.push_back(order_.begin()->second);
        times_.erase(due.back());
        order_.erase(order_.begin());
    }
    return due;
}

std::optional<TimePoint> RequestTimers::next() const
{
    return order_.empty() ? std::nullopt : std::optional(order_.begin()->first);
}

}
