#pragma once

#include "base/identifier.h"
#include "base/time.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Lentillock
{

/// The next due time of each request.
class RequestTimers
{
public:
    /// Ignores @p due if an earlier time is set. The request is then checked once too early, which is cheaper than moving its
    /// entry with each chunk of its answer.
    void set(const RequestId &request, TimePoint due);
    void remove(const RequestId &request);

    /// Removes and returns the requests that are due, earliest first.
    std::vector<RequestId> takeExpired(TimePoint now);

    [[nodiscard]] std::optional<TimePoint> next() const;

private:
    std::set<std::pair<TimePoint, RequestId>> order_;
    std::unordered_map<RequestId, TimePoint> times_;
};

}
