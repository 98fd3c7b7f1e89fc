#include "routing/admissionqueue.h"

#include "routing/overloadcontrol.h"

#include <gtest/gtest.h>

namespace Lentillock
{
namespace
{

class AdmissionQueueTest : public testing::Test
{
protected:
    QueueEntry entry(const std::string &id, const std::string &workspace, std::uint64_t tokens, Duration waited = Duration::zero()) const
    {
        return {RequestId(id), WorkspaceId(workspace), 0, tokens, now_ - waited, now_ - waited + 100s};
    }

    TimePoint now_{std::chrono::hours(1)};
    AdmissionQueue queue_{100};
    OverloadControl overload_;
};

// Guards against a short request that waits behind a long one queued before it.
TEST_F(AdmissionQueueTest, ShortRequest_BehindLongOne_IsTriedFirst)
{
    queue_.push(entry("long", "a", 500'000));
    queue_.push(entry("short", "a", 2'000));
    EXPECT_EQ(queue_.order(now_).front(), RequestId("short"));
}

// Guards against starvation of long requests by a steady supply of new short ones.
TEST_F(AdmissionQueueTest, LongRequest_HasWaitedLong_IsTriedFirst)
{
    queue_.push(entry("long", "a", 500'000, 30s));
    queue_.push(entry("short", "a", 2'000));
    EXPECT_EQ(queue_.order(now_).front(), RequestId("long"));
}

// Guards against a workspace that delays the requests of others by filling the queue.
TEST_F(AdmissionQueueTest, ManyRequestsOfOneWorkspace_DoNotDelayAnother)
{
    for (int i = 0; i < 50; ++i) {
        queue_.push(entry("a" + std::to_string(i), "a", 2'000));
    }
    queue_.push(entry("b", "b", 2'000));
    const auto order = queue_.order(now_);
    EXPECT_LE(std::find(order.begin(), order.end(), RequestId("b")) - order.begin(), 1);
}

// Guards against wrong token sums after a removal; OverloadControl decides by them.
TEST_F(AdmissionQueueTest, Removal_TakesTheWorkFromTheSums)
{
    queue_.push(entry("a", "a", 2'000));
    queue_.push(entry("b", "b", 3'000));
    queue_.remove(RequestId("a"));
    queue_.remove(RequestId("a"));
    EXPECT_EQ(queue_.waitingTokens(WorkClass::Short), 3'000U);
    EXPECT_EQ(queue_.waitingTokens(WorkClass::Short, WorkspaceId("a")), 0U);
    EXPECT_EQ(queue_.waitingWorkspaces(WorkClass::Short), 1U);
}

// Guards against accepting a request that would wait past its deadline, and against refusing workspaces that did not cause the overload.
TEST_F(AdmissionQueueTest, Overload_RefusesTheWorkspaceThatFillsTheQueueFirst)
{
    overload_.dispatched(now_, 2'000);
    // With 2000 tokens dispatched per half-life, the wait is twice the permitted one.
    for (int i = 0; i < 2; ++i) {
        queue_.push(entry("a" + std::to_string(i), "a", 1'100));
    }
    const auto greedy = overload_.retryAfter(now_, entry("next", "a", 2'000), queue_);
    ASSERT_TRUE(greedy.has_value());
    EXPECT_GE(*greedy, 1s);
    EXPECT_FALSE(overload_.retryAfter(now_, entry("other", "b", 2'000), queue_).has_value());
    EXPECT_FALSE(overload_.retryAfter(now_, entry("long", "a", 200'000), queue_).has_value());
}

}
}
