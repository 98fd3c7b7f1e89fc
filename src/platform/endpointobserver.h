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

/// An allocation of engine memory, as listed by the engine.
struct AllocationRecord {
    AllocationId id;
    std::string owner;
    milliseconds remaining{0}; ///< The engine's "deadlineMs": time from the allocation to the deadline of the owning request.

    bool operator==(const AllocationRecord &) const = default;
};

/// Polls endpoints and releases their allocations over HTTP. One thread runs all requests concurrently and calls the callbacks.
class EndpointObserver
{
public:
    /// The argument is empty if the endpoint did not send a valid response in time.
    using LoadCallback = std::function<void(const std::optional<LoadReport> &load)>;
    using AllocationsCallback = std::function<void(const std::optional<std::vector<AllocationRecord>> &allocations)>;
    using ReleaseCallback = std::function<void(bool released)>;

    explicit EndpointObserver(milliseconds timeout);
    EndpointObserver(const EndpointObserver &) = delete;
    EndpointObserver &operator=(const EndpointObserver &) = delete;
    /// Aborts running requests without calling their callbacks.
    ~EndpointObserver();

    /// @p freshConnection forces a new connection instead of reusing one that may no longer respond.
    void fetchLoad(const std::string &address, bool freshConnection, LoadCallback callback);
    void listAllocations(const std::string &address, AllocationsCallback callback);

    /// Passes true to @p callback if the endpoint has released the allocation or does not know it.
    void releaseAllocation(const std::string &address, const AllocationId &allocation, ReleaseCallback callback);

    /// Total size of the response bodies received so far.
    [[nodiscard]] std::uint64_t receivedBytes() const;

private:
    class Task;
    std::unique_ptr<Task> task_;
};

}
