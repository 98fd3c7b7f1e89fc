#include "gateway/callermemory.h"

#include <gtest/gtest.h>

#include <array>
#include <string>

namespace Lentillock
{

namespace
{

constexpr std::size_t Limit = 1024UL * 1024;
constexpr std::size_t Ordinary = OrdinaryRequestBytes;

class CallerMemoryTest : public testing::Test
{
protected:
    /// A connection whose request has not arrived whole.
    void receive(std::size_t connection, std::size_t bytes)
    {
        memory_.update(&connections_.at(connection), bytes, [this, connection] { evicted_ += std::to_string(connection); });
        memory_.enforce();
    }

    /// A connection whose request runs at an endpoint.
    void run(std::size_t connection, std::size_t bytes)
    {
        memory_.update(&connections_.at(connection), bytes, {});
        memory_.enforce();
    }

    CallerMemory memory_{Limit};
    std::array<char, 10> connections_{};
    std::string evicted_;
};

TEST_F(CallerMemoryTest, LimitIsKept_NobodyIsEvicted)
{
    receive(1, Limit / 2);
    run(2, Limit / 2);
    EXPECT_EQ(evicted_, "");
    EXPECT_FALSE(memory_.mustEnforce());
    EXPECT_EQ(memory_.heldBytes(), Limit);
}

// Guards against a crowd with large bodies that makes ordinary callers lose their requests.
TEST_F(CallerMemoryTest, LimitIsExceeded_LargestIncompleteRequests_AreEvicted)
{
    receive(1, Limit / 2);
    receive(2, Limit / 4);
    run(3, Limit / 4);
    receive(4, Ordinary);
    EXPECT_EQ(evicted_, "1");
    receive(5, Limit / 2);
    EXPECT_EQ(evicted_, "15");
    EXPECT_EQ(memory_.heldBytes(), Limit / 2 + Ordinary);
}

TEST_F(CallerMemoryTest, OnlyRunningRequestsHoldMemory_NobodyIsEvicted)
{
    run(1, Limit);
    run(2, Limit);
    EXPECT_EQ(evicted_, "");
    EXPECT_FALSE(memory_.mustEnforce());
}

TEST_F(CallerMemoryTest, LargeRequestsRun_AQuarter_IsLeftForOrdinaryOnes)
{
    run(1, Limit / 2);
    EXPECT_TRUE(memory_.admits(Limit / 4));
    run(2, Limit / 4);
    EXPECT_FALSE(memory_.admits(Ordinary + 1));
    EXPECT_TRUE(memory_.admits(Ordinary));
    run(3, Limit / 4);
    EXPECT_FALSE(memory_.admits(Ordinary));
}

TEST_F(CallerMemoryTest, IncompleteRequests_DoNotKeepOthers_FromRunning)
{
    receive(1, Limit);
    EXPECT_TRUE(memory_.admits(Limit / 2));
}

TEST_F(CallerMemoryTest, ConnectionIsUpdatedAndRemoved_ItsMemory_IsNotCounted)
{
    receive(1, Limit / 2);
    run(1, Limit / 4);
    EXPECT_EQ(memory_.heldBytes(), Limit / 4);
    memory_.remove(&connections_.at(1));
    memory_.remove(&connections_.at(1));
    EXPECT_EQ(memory_.heldBytes(), 0U);
    EXPECT_TRUE(memory_.admits(Ordinary));
}

}

}
