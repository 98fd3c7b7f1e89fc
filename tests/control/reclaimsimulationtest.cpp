#include "control/memoryreclaimer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace Lentillock
{
namespace
{

/// Simulates one engine and the reclaimers of 7 VMs. Up to two VMs fail and are removed from the live VMs with a delay; requests fail at random.
class ReclaimSimulation
{
public:
    explicit ReclaimSimulation(std::uint64_t seed)
        : random_(seed)
    {
        for (int i = 0; i < VmCount; ++i) {
            vms_.emplace_back("vm" + std::to_string(i));
            reclaimers_.emplace_back(vms_.back());
            entries_.push_back({vms_.back(), "10.0.0." + std::to_string(i) + ":1", 5});
        }
        updateViews();
    }

    /// Returns false if an allocation is held for more than 15 s after its deadline or released before its deadline.
    bool run()
    {
        for (int step = 0; step < 1200; ++step) {
            now_ += 100ms;
            allocate();
            kill();
            for (std::size_t i = 0; i < reclaimers_.size(); ++i) {
                if (!dead_.contains(i)) {
                    perform(i, reclaimers_[i].advance(now_));
                }
            }
            if (std::ranges::any_of(held_, [this](const auto &entry) { return now_ > entry.second.deadline + 15s; })) {
                return false;
            }
        }
        return !releasedEarly_;
    }

private:
    static constexpr int VmCount = 7;
    struct Allocation {
        std::string owner;
        std::size_t vm = 0;
        TimePoint deadline;
        milliseconds remaining{0};
    };

    std::int64_t uniform(std::int64_t low, std::int64_t high)
    {
        return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
    }

    void allocate()
    {
        if (uniform(0, 9) == 0 && now_ < TimePoint(std::chrono::hours(1)) + 60s) {
            const auto vm = static_cast<std::size_t>(uniform(0, VmCount - 1));
            const std::string name = std::to_string(++allocations_);
            const milliseconds remaining(uniform(100, 40000));
            held_[AllocationId(name)] = {"vm" + std::to_string(vm) + "/5/" + name, vm, now_ + remaining, remaining};
        }
    }

    void kill()
    {
        if (dead_.size() < 2 && uniform(0, 200) == 0) {
            dead_.insert(static_cast<std::size_t>(uniform(0, VmCount - 1)));
            deathDetectedAt_ = now_ + milliseconds(uniform(5000, 12000));
        }
        if (now_ >= deathDetectedAt_) {
            updateViews();
        }
    }

    void updateViews()
    {
        std::vector<VmId> live;
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            if (!dead_.contains(i)) {
                live.push_back(vms_[i]);
            }
        }
        for (MemoryReclaimer &reclaimer : reclaimers_) {
            reclaimer.setFleet({engine_}, live);
            reclaimer.setEntries(entries_);
        }
    }

    void perform(std::size_t index, const std::vector<ReclaimAction> &actions)
    {
        for (const ReclaimAction &action : actions) {
            // 10 % of the HTTP requests fail.
            const bool failed = uniform(0, 9) == 0;
            if (failed) {
                reclaimers_[index].actionFailed(now_, action);
                continue;
            }
            if (std::holds_alternative<ListAllocations>(action)) {
                perform(index, reclaimers_[index].allocationsListed(now_, engine_, listing()));
            } else if (const auto *release = std::get_if<ReclaimAllocation>(&action)) {
                releaseNow(release->allocation);
            } else if (const auto *query = std::get_if<QueryOwner>(&action)) {
                queryOwner(index, *query);
            }
        }
    }

    std::vector<ListedAllocation> listing() const
    {
        std::vector<ListedAllocation> list;
        for (const auto &[id, allocation] : held_) {
            list.push_back({id, allocation.owner, allocation.remaining});
        }
        return list;
    }

    void releaseNow(const AllocationId &id)
    {
        const auto held = held_.find(id);
        if (held != held_.end()) {
            releasedEarly_ = releasedEarly_ || now_ < held->second.deadline;
            held_.erase(held);
        }
    }

    /// Entry processes that are running report all requests as active, so allocations are released only because of their deadlines.
    void queryOwner(std::size_t index, const QueryOwner &query)
    {
        const auto owner = static_cast<std::size_t>(std::ranges::find(vms_, query.vm) - vms_.begin());
        if (!dead_.contains(owner)) {
            perform(index, reclaimers_[index].ownerReplied({query.vm, 5, {}}));
        } else {
            reclaimers_[index].actionFailed(now_, query);
        }
    }

    std::mt19937_64 random_;
    TimePoint now_{std::chrono::hours(1)};
    const EndpointId engine_{"reader-1"};
    std::vector<VmId> vms_;
    std::vector<MemoryReclaimer> reclaimers_;
    std::vector<EntryInstance> entries_;
    std::map<AllocationId, Allocation> held_;
    std::set<std::size_t> dead_;
    TimePoint deathDetectedAt_ = TimePoint::max();
    std::uint64_t allocations_ = 0;
    bool releasedEarly_ = false;
};

// Guards against engine memory that is never released, or released while its request is active, when VMs fail and requests are lost.
TEST(ReclaimSimulationTest, TwoVmsDie_MessagesAreLost_MemoryIsFreeWithin15SecondsOfTheDeadline)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        ASSERT_TRUE(ReclaimSimulation(seed).run()) << "seed " << seed;
    }
}

}
}
