#include "control/memoryreclaimer.h"

#include <gtest/gtest.h>

namespace Lentillock
{
namespace
{

class MemoryReclaimerTest : public testing::Test
{
protected:
    MemoryReclaimerTest()
    {
        reclaimer_.setFleet({engine_}, {VmId("vm1"), VmId("vm2")});
        reclaimer_.setEntries({{VmId("vm2"), "10.0.0.2:7000", 5}});
    }

    std::vector<ReclaimAction> list(const std::string &owner, milliseconds remaining)
    {
        return reclaimer_.allocationsListed(now_, engine_, {{AllocationId("a"), owner, remaining}});
    }

    TimePoint now_{std::chrono::hours(1)};
    const EndpointId engine_{"reader-1"};
    const std::vector<ReclaimAction> released_{ReclaimAllocation{EndpointId("reader-1"), AllocationId("a")}};
    MemoryReclaimer reclaimer_{VmId("vm1")};
};

// Guards against memory that stays allocated after the deadline of its request, whether or not the owner is known.
TEST_F(MemoryReclaimerTest, DeadlineHasPassed_ByMoreThanTheGrace_IsReleased)
{
    for (const std::string owner : {"vm2/5/r", "vm9/1/r", "no owner tag"}) {
        reclaimer_.allocationsListed(now_, engine_, {});
        list(owner, 10s);
        now_ += 14900ms;
        EXPECT_TRUE(list(owner, 10s) != released_) << owner;
        now_ += 200ms;
        EXPECT_EQ(list(owner, 10s), released_) << owner;
    }
}

// Guards against releasing the memory of an active request because the clocks of two machines differ.
TEST_F(MemoryReclaimerTest, AllocationIsSeenFirst_WithTimeLeft_IsKept)
{
    EXPECT_TRUE(list("vm9/1/r", 1ms).empty());
}

// Guards against memory that stays allocated to an entry process that has crashed and restarted.
TEST_F(MemoryReclaimerTest, OwnerRunsNewerIncarnation_IsReleased)
{
    EXPECT_EQ(list("vm2/4/r", 60s), released_);
}

// Guards against releasing the memory of an active request whose entry process is unreachable or has a newer incarnation than this VM knows.
TEST_F(MemoryReclaimerTest, OwnerIsUnreachableOrNewer_IsKept)
{
    EXPECT_TRUE(list("vm9/1/r", 60s).empty());
    EXPECT_TRUE(list("vm2/6/r", 60s) != released_);
    EXPECT_TRUE(reclaimer_.ownerReplied({VmId("vm2"), 5, {RequestId("r")}}).empty());
}

// Guards against memory that stays allocated to a request that ended without releasing it, and against releasing that of an active request.
TEST_F(MemoryReclaimerTest, OwnerAnswers_OnlyInactiveRequestIsReleased)
{
    const auto queried = reclaimer_.allocationsListed(now_, engine_, {{AllocationId("a"), "vm2/5/r", 60s}, {AllocationId("b"), "vm2/5/s", 60s}});
    EXPECT_EQ(queried, (std::vector<ReclaimAction>{QueryOwner{VmId("vm2"), "10.0.0.2:7000", {RequestId("r"), RequestId("s")}}}));
    EXPECT_EQ(reclaimer_.ownerReplied({VmId("vm2"), 5, {RequestId("r")}}), released_);
}

// Guards against using the reply of another VM that has taken over the owner's address.
TEST_F(MemoryReclaimerTest, AnotherVmAnswers_NothingIsReleased)
{
    list("vm2/5/r", 60s);
    EXPECT_TRUE(reclaimer_.ownerReplied({VmId("vm7"), 9, {RequestId("r")}}).empty());
}

// Guards against a failed request that delays a release until the next regular listing.
TEST_F(MemoryReclaimerTest, RequestFails_IsRepeatedOnceAfterTheRetryInterval)
{
    const std::vector<ReclaimAction> actions{
        ListAllocations{engine_}, ReclaimAllocation{engine_, AllocationId("a")}, QueryOwner{VmId("vm2"), "10.0.0.2:7000", {}}};
    for (const ReclaimAction &action : actions) {
        reclaimer_.advance(now_);
        reclaimer_.actionFailed(now_, action);
        EXPECT_TRUE(reclaimer_.advance(now_ + MemoryReclaimer::RetryInterval - 1ms).empty());
        EXPECT_EQ(reclaimer_.advance(now_ + MemoryReclaimer::RetryInterval), std::vector<ReclaimAction>{action});
        EXPECT_TRUE(reclaimer_.advance(now_ + 2 * MemoryReclaimer::RetryInterval).empty());
        now_ += MemoryReclaimer::ListInterval;
    }
}

// Guards against an accumulation of retries for an engine or owner that stays unreachable.
TEST_F(MemoryReclaimerTest, RegularListingComesFirst_RetryIsDropped)
{
    reclaimer_.advance(now_);
    now_ += MemoryReclaimer::ListInterval - 1ms;
    reclaimer_.actionFailed(now_, QueryOwner{VmId("vm2"), "10.0.0.2:7000", {}});
    EXPECT_EQ(reclaimer_.advance(now_ + 1ms), std::vector<ReclaimAction>{ListAllocations{engine_}});
    EXPECT_TRUE(reclaimer_.advance(now_ + MemoryReclaimer::RetryInterval).empty());
}

// Guards against retrying a request to an engine that this VM is no longer responsible for, or to an outdated address of the owner.
TEST_F(MemoryReclaimerTest, ViewChangesBeforeTheRetry_RetryFollowsTheView)
{
    reclaimer_.advance(now_);
    reclaimer_.actionFailed(now_, ListAllocations{engine_});
    reclaimer_.actionFailed(now_, QueryOwner{VmId("vm2"), "10.0.0.2:7000", {}});
    reclaimer_.setFleet({}, {VmId("vm1"), VmId("vm2")});
    reclaimer_.setEntries({{VmId("vm2"), "10.0.0.2:7001", 6}});
    EXPECT_EQ(reclaimer_.advance(now_ + MemoryReclaimer::RetryInterval), (std::vector<ReclaimAction>{QueryOwner{VmId("vm2"), "10.0.0.2:7001", {}}}));
}

// Guards against memory that stays allocated for more than 15 s after the deadline when one of the responsible VMs has failed.
TEST_F(MemoryReclaimerTest, TwoVmsAreResponsible_OneDies_ListingGoesOn)
{
    MemoryReclaimer second(VmId("vm2"));
    second.setFleet({engine_}, {VmId("vm1"), VmId("vm2")});
    EXPECT_EQ(second.engineCount(), 1U);
    EXPECT_EQ(second.advance(TimePoint()), (std::vector<ReclaimAction>{ListAllocations{engine_}}));
    EXPECT_LE(MemoryReclaimer::DeadlineGrace + 2 * MemoryReclaimer::ListInterval, 15s);
}

}
}
