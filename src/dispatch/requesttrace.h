#pragma once

#include "base/identifier.h"
#include "base/time.h"

#include <boost/json/object.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Lentillock
{

/// Events of one request, for explain().
class RequestTrace
{
public:
    RequestTrace(RequestId request, WorkspaceId workspace, TimePoint arrival, TimePoint deadline, std::size_t maxEvents);

    /// @p name must be a string literal. Once the limit is reached, each new event replaces the last one.
    void add(TimePoint now, std::string_view name, const std::string &detail = {});

    [[nodiscard]] const RequestId &request() const;
    [[nodiscard]] boost::json::object toJson() const;

private:
    struct Event {
        TimePoint at;
        std::string_view name;
        std::string detail;
    };

    RequestId request_;
    WorkspaceId workspace_;
    TimePoint arrival_;
    TimePoint deadline_;
    std::size_t maxEvents_;
    std::size_t dropped_ = 0;
    std::vector<Event> events_;
};

}
