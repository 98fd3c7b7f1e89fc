#pragma once

#include "base/identifier.h"
#include "base/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Lentillock
{

/// Owner tag of an allocation: "VM/INCARNATION/REQUEST", where the incarnation is that of the VM's entry process.
struct AllocationOwner {
    VmId vm;
    std::uint64_t incarnation = 0;
    RequestId request;

    auto operator<=>(const AllocationOwner &) const = default;

    /// Returns nothing if @p tag does not have this format. The request part may contain slashes.
    static std::optional<AllocationOwner> parse(std::string_view tag);
};

/// An allocation as listed by an engine.
struct ListedAllocation {
    AllocationId id;
    std::string owner;
    milliseconds remaining{0}; ///< Time left until the request's deadline, either when the allocation was made or now.

    auto operator<=>(const ListedAllocation &) const = default;
};

/// The entry process of a VM as known from membership.
struct EntryInstance {
    VmId vm;
    std::string address;
    std::uint64_t incarnation = 0;

    auto operator<=>(const EntryInstance &) const = default;
};

/// Requests that the caller list the engine's allocations and report them with allocationsListed().
struct ListAllocations {
    EndpointId endpoint;

    auto operator<=>(const ListAllocations &) const = default;
};

/// Requests that the caller release the allocation.
struct ReclaimAllocation {
    EndpointId endpoint;
    AllocationId allocation;

    auto operator<=>(const ReclaimAllocation &) const = default;
};

/// Requests that the caller ask the entry process at @p address which of the requests are active and report the reply with ownerReplied().
struct QueryOwner {
    VmId vm;
    std::string address;
    std::vector<RequestId> requests;

    auto operator<=>(const QueryOwner &) const = default;
};

using ReclaimAction = std::variant<ListAllocations, ReclaimAllocation, QueryOwner>;

/// Reply of an entry process to QueryOwner.
struct OwnerReply {
    VmId vm; ///< VM of the process that replied; another VM may have taken over the address.
    std::uint64_t incarnation = 0;
    std::vector<RequestId> inactive;

    auto operator<=>(const OwnerReply &) const = default;
};

/// Releases engine memory that is no longer needed: the request's deadline has passed, or its entry process has restarted or
/// reports that the request is inactive.
///
/// A deadline is computed from the time at which the allocation was first listed, so it does not depend on the clock of another machine. A VM
/// that becomes responsible later may compute a later deadline, which only delays the release.
///
/// Releasing is idempotent, so several VMs may be responsible for one engine at the same time. A missing reply from an owner does not cause a release.
class MemoryReclaimer
{
public:
    static constexpr milliseconds ListInterval{2000};
    /// Delay before a failed action is retried. When 10 % of the requests failed, waiting for the next listing exceeded the limit of deadline + 15 s.
    static constexpr milliseconds RetryInterval{300};
    /// Time after the deadline at which an allocation is released without querying its owner.
    static constexpr milliseconds DeadlineGrace{5000};
    /// Number of VMs responsible for one engine. With three, two can fail at the same time and the third still knows when each allocation was first
    /// listed.
    static constexpr std::size_t ReclaimersPerEngine = 3;

    explicit MemoryReclaimer(VmId self);

    /// Sets the engines of the fleet and the live VMs among which responsibility for the engines is divided.
    void setFleet(const std::vector<EndpointId> &engines, const std::vector<VmId> &liveVms);
    void setEntries(const std::vector<EntryInstance> &entries);

    std::vector<ReclaimAction> advance(TimePoint now);
    std::vector<ReclaimAction> allocationsListed(TimePoint now, const EndpointId &endpoint, const std::vector<ListedAllocation> &allocations);
    std::vector<ReclaimAction> ownerReplied(const OwnerReply &reply);
    /// Handles the failure of @p action. advance() returns it again after RetryInterval unless the next regular listing is due first.
    void actionFailed(TimePoint now, const ReclaimAction &action);

    [[nodiscard]] std::size_t engineCount() const;
    [[nodiscard]] std::uint64_t releaseCount() const;

private:
    struct QueriedAllocation {
        AllocationId id;
        AllocationOwner owner;
    };
    struct Engine {
        std::vector<QueriedAllocation> queried; ///< Allocations of the last listing whose owners have been queried.
        std::map<AllocationId, TimePoint> deadlines; ///< Deadlines of all allocations of the last listing.
    };

    [[nodiscard]] const EntryInstance *findEntry(const VmId &vm) const;
    /// Returns @p action with the current address of the owner, or nothing if it no longer applies.
    [[nodiscard]] std::optional<ReclaimAction> retryOf(const ReclaimAction &action) const;
    std::vector<ReclaimAction> takeDueRetries(TimePoint now);
    ReclaimAction release(const EndpointId &endpoint, const AllocationId &allocation);
    static void updateDeadlines(TimePoint now, Engine &engine, const std::vector<ListedAllocation> &allocations);

    VmId self_;
    std::vector<EntryInstance> entries_;
    std::map<EndpointId, Engine> engines_; ///< Engines that this VM is responsible for.
    std::optional<TimePoint> nextListing_;
    std::map<ReclaimAction, TimePoint> retries_; ///< Failed actions and the times at which to retry them.
    std::uint64_t releaseCount_ = 0;
};

}
