#include "dispatch/finishedrequests.h"

#include <algorithm>
#include <utility>

namespace Lentillock
{

FinishedRequests::FinishedRequests(std::size_t maxRequests)
    : maxRequests_(maxRequests)
{
}

void FinishedRequests::add(RequestTrace trace)
{
    traces_.push_back(std::move(trace));
    while (traces_.size() > maxRequests_) {
        traces_.pop_front();
    }
}

const RequestTrace *FinishedRequests::find(const RequestId &request) const
{
    const auto found = std::find_if(traces_.rbegin(), traces_.rend(), [&request](const RequestTrace &trace) { return trace.request() == request; });
    return found == traces_.rend() ? nullptr : &*found;
}

std::size_t FinishedRequests::size() const
{
    return traces_.size();
}

}
