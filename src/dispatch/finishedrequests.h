#pragma once

#include "dispatch/requesttrace.h"

#include <cstddef>
#include <deque>

namespace Lentillock
{

/// The courses of the last finished requests.
class FinishedRequests
{
public:
    explicit FinishedRequests(std::size_t maxRequests);

    void add(RequestTrace trace);

    /// The latest finished request with this identifier, or null.
    [[nodiscard]] const RequestTrace *find(const RequestId &request) const;

    [[nodiscard]] std::size_t size() const;

private:
    std::size_t maxRequests_;
    std::deque<RequestTrace> traces_;
};

}
