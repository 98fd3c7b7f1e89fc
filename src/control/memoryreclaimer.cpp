#include "control/memoryreclaimer.h"

#include "base/hash.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace Lentillock
{

std::optional<AllocationOwner> AllocationOwner::parse(std::string_view tag)
{
    const std::size_t first = tag.find('/');
    const std::size_t second = first == std::string_view::npos ? first : tag.find('/', first + 1);
    if (second == std::string_view::npos || first == 0 || second + 1 == tag.size()) {
        return std::nullopt;
    }
    const std::string_view number = tag.substr(first + 1, second - first - 1);
    AllocationOwner owner{VmId(std::string(tag.substr(0, first))), 0, RequestId(std::string(tag.substr(second + 1)))};
    const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), owner.incarnation);
    if (error != std::errc() || end != number.data() + number.size()) {
        return std::nullopt;
    }
    return owner;
}

MemoryReclaimer::MemoryReclaimer(VmId self)
    : self_(std::move(self))
{
}

void MemoryReclaimer::setFleet(const std::vector<EndpointId> &engines, const std::vector<VmId> &liveVms)
{
    std::vector<std::string> vmNames;
    vmNames.reserve(liveVms.size());
    for (const VmId &vm : liveVms) {
        vmNames.push_back(vm.value());
    }
    std::map<EndpointId, Engine> kept;
    for (const EndpointId &engine : engines) {
        const auto reclaimers = rendezvousOrder(engine.value(), vmNames, ReclaimersPerEngine);
        if (std::ranges::find(reclaimers, self_.value()) != reclaimers.end()) {
            kept[engine] = std::move(engines_[engine]);
        }
    }
    engines_ = std::move(kept);
}

void MemoryReclaimer::setEntries(const std::vector<EntryInstance> &entries)
{
    entries_ = entries;
}

std::vector<ReclaimAction> MemoryReclaimer::advance(TimePoint now)
{
    if (nextListing_ && now < *nextListing_) {
        return takeDueRetries(now);
    }
    nextListing_ = now + ListInterval;
    retries_.clear();
    std::vector<ReclaimAction> actions;
    for (const auto &[id, engine] : engines_) {
        actions.emplace_back(ListAllocations{id});
    }
    return actions;
}

void MemoryReclaimer::actionFailed(TimePoint now, const ReclaimAction &action)
{
    retries_.emplace(action, now + RetryInterval);
}

std::vector<ReclaimAction> MemoryReclaimer::takeDueRetries(TimePoint now)
{
    std::vector<ReclaimAction> actions;
    std::erase_if(retries_, [&](const auto &retry) {
        if (now < retry.second) {
            return false;
        }
        if (auto action = retryOf(retry.first)) {
            actions.push_back(std::move(*action));
        }
        return true;
    });
    return actions;
}

std::optional<ReclaimAction> MemoryReclaimer::retryOf(const ReclaimAction &action) const
{
    if (const auto *query = std::get_if<QueryOwner>(&action)) {
        const EntryInstance *entry = findEntry(query->vm);
        if (entry == nullptr || entry->address.empty()) {
            return std::nullopt;
        }
        return QueryOwner{query->vm, entry->address, query->requests};
    }
    const auto *list = std::get_if<ListAllocations>(&action);
    const EndpointId &endpoint = list != nullptr ? list->endpoint : std::get<ReclaimAllocation>(action).endpoint;
    return engines_.contains(endpoint) ? std::optional(action) : std::nullopt;
}

void MemoryReclaimer::updateDeadlines(TimePoint now, Engine &engine, const std::vector<ListedAllocation> &allocations)
{
    std::map<AllocationId, TimePoint> deadlines;
    for (const ListedAllocation &allocation : allocations) {
        const TimePoint deadline = now + allocation.remaining;
        const auto previous = engine.deadlines.find(allocation.id);
        deadlines[allocation.id] = previous == engine.deadlines.end() ? deadline : std::min(deadline, previous->second);
    }
    engine.deadlines = std::move(deadlines);
}

std::vector<ReclaimAction> MemoryReclaimer::allocationsListed(TimePoint now, const EndpointId &endpoint, const std::vector<ListedAllocation> &allocations)
{
    const auto engine = engines_.find(endpoint);
    if (engine == engines_.end()) {
        return {};
    }
    engine->second.queried.clear();
    updateDeadlines(now, engine->second, allocations);
    std::vector<ReclaimAction> actions;
    std::map<VmId, QueryOwner> queries;
    for (const ListedAllocation &allocation : allocations) {
        const auto owner = AllocationOwner::parse(allocation.owner);
        const EntryInstance *entry = owner ? findEntry(owner->vm) : nullptr;
        const bool overdue = now > engine->second.deadlines.at(allocation.id) + DeadlineGrace;
        if (overdue || (entry != nullptr && entry->incarnation > owner->incarnation)) {
            actions.push_back(release(endpoint, allocation.id));
        } else if (entry != nullptr && !entry->address.empty()) {
            engine->second.queried.push_back({allocation.id, *owner});
            QueryOwner &query = queries[owner->vm];
            query.vm = owner->vm;
            query.address = entry->address;
            query.requests.push_back(owner->request);
        }
    }
    for (auto &[vm, query] : queries) {
        actions.emplace_back(std::move(query));
    }
    return actions;
}

std::vector<ReclaimAction> MemoryReclaimer::ownerReplied(const OwnerReply &reply)
{
    std::vector<ReclaimAction> actions;
    for (auto &entry : engines_) {
        const EndpointId &engine = entry.first;
        std::erase_if(entry.second.queried, [&](const QueriedAllocation &allocation) {
            if (allocation.owner.vm != reply.vm || reply.incarnation < allocation.owner.incarnation) {
                return false;
            }
            const bool replaced = reply.incarnation > allocation.owner.incarnation;
            if (!replaced && std::ranges::find(reply.inactive, allocation.owner.request) == reply.inactive.end()) {
                return false;
            }
            actions.push_back(release(engine, allocation.id));
            return true;
        });
    }
    return actions;
}

ReclaimAction MemoryReclaimer::release(const EndpointId &endpoint, const AllocationId &allocation)
{
    ++releaseCount_;
    return ReclaimAllocation{endpoint, allocation};
}

const EntryInstance *MemoryReclaimer::findEntry(const VmId &vm) const
{
    const auto entry = std::ranges::find(entries_, vm, &EntryInstance::vm);
    return entry == entries_.end() ? nullptr : &*entry;
}

std::size_t MemoryReclaimer::engineCount() const
{
    return engines_.size();
}

std::uint64_t MemoryReclaimer::releaseCount() const
{
    return releaseCount_;
}

}
