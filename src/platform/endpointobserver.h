#pragma once

#include "base/identifier.h"
#include "base/time.h"
#include "dispatch/servingview.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lentillock
{

/// An allocation of engine memory as the engine lists it.
struct AllocationRecord {
    AllocationId id;
    std::string owner;
    milliseconds remaining{0}; ///< The engine's "deadlineMs": time that the owning request had left when it made the allocation.

    bool operator==(const AllocationRecord &) const = default;
};

/// Polls endpoints and releases their memory over HTTP. One task serves all requests at the same time; callbacks run on it.
class EndpointObserver
{
public:
    /// Nothing if the endpoint did not answer in time or not as agreed.
    using LoadCallback = std::function<void(const std::optional<LoadReport> &load)>;
    using AllocationsCallback = std::function<void(const std::optional<std::vector<AllocationRecord>> &allocations)>;
    using ReleaseCallback = std::function<void(bool released)>;

    explicit EndpointObserver(milliseconds timeout);
    EndpointObserver(const EndpointObserver &) = delete;
    EndpointObserver &operator=(const EndpointObserver &) = delete;
    /// Ends running requests without calling back.
    ~EndpointObserver();

    /// @p freshConnection avoids a reused connection that may have gone silent.
    void fetchLoad(const std::string &address, bool freshConnection, LoadCallback callback);
    void listAllocations(const std::string &address, AllocationsCallback callback);

    /// Calls back with whether the endpoint has released the allocation or does not know it.
    void releaseAllocation(const std::string &address, const AllocationId &allocation, ReleaseCallback callback);

    /// Bytes received from endpoints so far, without headers.
    [[nodiscard]] std::uint64_t receivedBytes() const;

private:
    class Task;
    std::unique_ptr<Task> task_;
};

}
