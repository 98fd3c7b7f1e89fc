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
    std::vector<std::string> names;
    names.reserve(liveVms.size());
    for (const VmId &vm : liveVms) {
        names.push_back(vm.value());
    }
    std::map<EndpointId, Engine> kept;
    for (const EndpointId &engine : engines) {
        const auto responsible = rendezvousOrder(engine.value(), names, ResponsibleVms);
        if (std::ranges::find(responsible, self_.value()) != responsible.end()) {
            kept[engine] = std::move(engines_[engine]);
        }
    }
    engines_ = std::move(kept);
}

void MemoryReclaimer::setEntries(const std::vector<EntryProcess> &entries)
{
    entries_ = entries;
}

std::vector<ReclaimAction> MemoryReclaimer::advance(TimePoint now)
{
    if (nextList_ && now < *nextList_) {
        return takeDueRetries(now);
    }
    nextList_ = now + ListInterval;
    retries_.clear();
    std::vector<ReclaimAction> actions;
    for (const auto &[id, engine] : engines_) {
        actions.emplace_back(ListAllocations{id});
    }
    return actions;
}

void MemoryReclaimer::failed(TimePoint now, const ReclaimAction &action)
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
        if (auto action = repetition(retry.first)) {
            actions.push_back(std::move(*action));
        }
        return true;
    });
    return actions;
}

std::optional<ReclaimAction> MemoryReclaimer::repetition(const ReclaimAction &action) const
{
    if (const auto *question = std::get_if<AskOwner>(&action)) {
        const EntryProcess *entry = entryOf(question->vm);
        if (entry == nullptr || entry->address.empty()) {
            return std::nullopt;
        }
        return AskOwner{question->vm, entry->address, question->requests};
    }
    const auto *list = std::get_if<ListAllocations>(&action);
    const EndpointId &endpoint = list != nullptr ? list->endpoint : std::get<ReclaimAllocation>(action).endpoint;
    return engines_.contains(endpoint) ? std::optional(action) : std::nullopt;
}

void MemoryReclaimer::noteDeadlines(TimePoint now, Engine &engine, const std::vector<ListedAllocation> &allocations)
{
    std::map<AllocationId, TimePoint> deadlines;
    for (const ListedAllocation &allocation : allocations) {
        const TimePoint deadline = now + allocation.remaining;
        const auto known = engine.deadlines.find(allocation.id);
        deadlines[allocation.id] = known == engine.deadlines.end() ? deadline : std::min(deadline, known->second);
    }
    engine.deadlines = std::move(deadlines);
}

std::vector<ReclaimAction> MemoryReclaimer::listed(TimePoint now, const EndpointId &endpoint, const std::vector<ListedAllocation> &allocations)
{
    const auto engine = engines_.find(endpoint);
    if (engine == engines_.end()) {
        return {};
    }
    engine->second.held.clear();
    noteDeadlines(now, engine->second, allocations);
    std::vector<ReclaimAction> actions;
    std::map<VmId, AskOwner> questions;
    for (const ListedAllocation &allocation : allocations) {
        const auto owner = AllocationOwner::parse(allocation.owner);
        const EntryProcess *entry = owner ? entryOf(owner->vm) : nullptr;
        const bool overdue = now > engine->second.deadlines.at(allocation.id) + DeadlineGrace;
        if (overdue || (entry != nullptr && entry->incarnation > owner->incarnation)) {
            actions.push_back(release(endpoint, allocation.id));
        } else if (entry != nullptr && !entry->address.empty()) {
            engine->second.held.push_back({allocation.id, *owner});
            AskOwner &question = questions[owner->vm];
            question.vm = owner->vm;
            question.address = entry->address;
            question.requests.push_back(owner->request);
        }
    }
    for (auto &[vm, question] : questions) {
        actions.emplace_back(std::move(question));
    }
    return actions;
}

std::vector<ReclaimAction> MemoryReclaimer::ownerAnswered(const OwnerAnswer &answer)
{
    std::vector<ReclaimAction> actions;
    for (auto &entry : engines_) {
        const EndpointId &engine = entry.first;
        std::erase_if(entry.second.held, [&](const Held &allocation) {
            if (allocation.owner.vm != answer.vm || answer.incarnation < allocation.owner.incarnation) {
                return false;
            }
            const bool replaced = answer.incarnation > allocation.owner.incarnation;
            if (!replaced && std::ranges::find(answer.inactive, allocation.owner.request) == answer.inactive.end()) {
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
    ++releases_;
    return ReclaimAllocation{endpoint, allocation};
}

const EntryProcess *MemoryReclaimer::entryOf(const VmId &vm) const
{
    const auto entry = std::ranges::find(entries_, vm, &EntryProcess::vm);
    return entry == entries_.end() ? nullptr : &*entry;
}

std::size_t MemoryReclaimer::responsibleFor() const
{
    return engines_.size();
}

std::uint64_t MemoryReclaimer::releases() const
{
    return releases_;
}

}
