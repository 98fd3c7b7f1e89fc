#include "dispatch/requesttrace.h"

#include <boost/json/array.hpp>

#include <utility>

namespace Lentillock
{

namespace
{

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

}

RequestTrace::RequestTrace(RequestId request, WorkspaceId workspace, TimePoint arrival, TimePoint deadline, std::size_t maxEvents)
    : request_(std::move(request))
    , workspace_(std::move(workspace))
    , arrival_(arrival)
    , deadline_(deadline)
    , maxEvents_(maxEvents)
{
}

void RequestTrace::add(TimePoint now, std::string_view name, const std::string &detail)
{
    if (events_.size() >= maxEvents_ && !events_.empty()) {
        events_.pop_back();
        dropped_ += 1;
    }
    events_.push_back({now, name, detail});
}

const RequestId &RequestTrace::request() const
{
    return request_;
}

boost::json::object RequestTrace::toJson() const
{
    boost::json::array events;
    for (const Event &event : events_) {
        boost::json::object object{{"atMs", toMilliseconds(event.at - arrival_)}, {"event", event.name}};
        if (!event.detail.empty()) {
            object["detail"] = event.detail;
        }
        events.push_back(std::move(object));
    }
    boost::json::object result{
        {"request", request_.value()}, {"workspace", workspace_.value()}, {"timeoutMs", toMilliseconds(deadline_ - arrival_)}, {"events", std::move(events)}};
    if (dropped_ > 0) {
        result["eventsDropped"] = dropped_;
    }
    return result;
}

}
