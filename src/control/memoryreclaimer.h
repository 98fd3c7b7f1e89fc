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

    /// Nothing if @p tag does not have the format. The request part may contain slashes.
    static std::optional<AllocationOwner> parse(std::string_view tag);
};

/// An allocation as an engine lists it.
struct ListedAllocation {
    AllocationId id;
    std::string owner;
    milliseconds remaining{0}; ///< Time that the request had left when the allocation was made, or has left now.

    auto operator<=>(const ListedAllocation &) const = default;
};

/// The entry process of a VM, as membership knows it.
struct EntryProcess {
    VmId vm;
    std::string address;
    std::uint64_t incarnation = 0;

    auto operator<=>(const EntryProcess &) const = default;
};

/// Ask the engine for its allocations and report them with listed().
struct ListAllocations {
    EndpointId endpoint;

    auto operator<=>(const ListAllocations &) const = default;
};

struct ReclaimAllocation {
    EndpointId endpoint;
    AllocationId allocation;

    auto operator<=>(const ReclaimAllocation &) const = default;
};

/// Ask the entry process at @p address whether the requests are active and report its reply with ownerAnswered().
struct AskOwner {
    VmId vm;
    std::string address;
    std::vector<RequestId> requests;

    auto operator<=>(const AskOwner &) const = default;
};

using ReclaimAction = std::variant<ListAllocations, ReclaimAllocation, AskOwner>;

/// Answer of an entry process to AskOwner.
struct OwnerAnswer {
    VmId vm; ///< Of the process that answered; another VM may have taken over the address.
    std::uint64_t incarnation = 0;
    std::vector<RequestId> inactive;

    auto operator<=>(const OwnerAnswer &) const = default;
};

/// Finds allocations whose owners are certainly dead and releases them.
///
/// Deadlines count from the time at which an allocation was first listed, so that no clock of another machine is trusted. A VM that has become
/// responsible later errs towards a later release.
///
/// Releasing is idempotent, so several VMs may be responsible for one endpoint at the same time. That an owner does not answer is no reason for a release.
class MemoryReclaimer
{
public:
    static constexpr milliseconds ListInterval{2000};
    /// Time between a failed action and its repetition. Waiting for the next listing missed the bound of deadline + 15 s when 10 % of the requests failed.
    static constexpr milliseconds RetryInterval{300};
    /// Time after the deadline at which an allocation is released without asking.
    static constexpr milliseconds DeadlineGrace{5000};
    /// VMs responsible for one endpoint. With three, two can die at the same time and a third still knows since when each allocation is held.
    static constexpr std::size_t ResponsibleVms = 3;

    explicit MemoryReclaimer(VmId self);

    /// Sets the engines of the fleet and the live VMs, from which the responsible ones are chosen.
    void setFleet(const std::vector<EndpointId> &engines, const std::vector<VmId> &liveVms);
    void setEntries(const std::vector<EntryProcess> &entries);

    std::vector<ReclaimAction> advance(TimePoint now);
    std::vector<ReclaimAction> listed(TimePoint now, const EndpointId &endpoint, const std::vector<ListedAllocation> &allocations);
    std::vector<ReclaimAction> ownerAnswered(const OwnerAnswer &answer);
    /// The request of @p action got no answer; advance() repeats it after RetryInterval unless a regular listing comes first.
    void failed(TimePoint now, const ReclaimAction &action);

    [[nodiscard]] std::size_t responsibleFor() const;
    [[nodiscard]] std::uint64_t releases() const;

private:
    struct Held {
        AllocationId id;
        AllocationOwner owner;
    };
    struct Engine {
        std::vector<Held> held; ///< Allocations whose owners are asked.
        std::map<AllocationId, TimePoint> deadlines; ///< Of all allocations of the last listing.
    };

    [[nodiscard]] const EntryProcess *entryOf(const VmId &vm) const;
    [[nodiscard]] std::optional<ReclaimAction> repetition(const ReclaimAction &action) const;
    std::vector<ReclaimAction> takeDueRetries(TimePoint now);
    ReclaimAction release(const EndpointId &endpoint, const AllocationId &allocation);
    static void noteDeadlines(TimePoint now, Engine &engine, const std::vector<ListedAllocation> &allocations);

    VmId self_;
    std::vector<EntryProcess> entries_;
    std::map<EndpointId, Engine> engines_; ///< Engines this VM is responsible for.
    std::optional<TimePoint> nextList_;
    std::map<ReclaimAction, TimePoint> retries_; ///< Failed actions and when to repeat them.
    std::uint64_t releases_ = 0;
};

}
