#pragma once

#include "dispatch/requesttrace.h"

#include <cstddef>
#include <deque>

namespace Lentillock
{

/// Traces of the most recently finished requests.
class FinishedRequests
{
public:
    explicit FinishedRequests(std::size_t maxRequests);

    void add(RequestTrace trace);

    /// Returns the trace of the latest finished request with this identifier, or null.
    [[nodiscard]] const RequestTrace *find(const RequestId &request) const;

    [[nodiscard]] std::size_t size() const;

private:
    std::size_t maxRequests_;
    std::deque<RequestTrace> traces_;
};

}
