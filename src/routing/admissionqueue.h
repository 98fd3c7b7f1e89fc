#pragma once

#include "base/identifier.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Lentillock
{

struct QueueEntry {
    RequestId request;
    WorkspaceId workspace;
    std::int64_t priority = 0;
    std::uint64_t promptTokens = 0;
    TimePoint arrival;
    TimePoint deadline;
};

/// Requests that wait for an endpoint.
class AdmissionQueue
{
public:
    explicit AdmissionQueue(std::size_t maxLength);

    /// Returns false when the queue is full; the request is then to be refused as not run.
    bool push(const QueueEntry &entry);
    void remove(const RequestId &request);

    /// The waiting requests in the order in which they are to be tried now.
    [[nodiscard]] std::vector<RequestId> order(TimePoint now) const;

    [[nodiscard]] std::size_t size() const;

private:
    std::size_t maxLength_;
    std::vector<QueueEntry> entries_;
};

}
