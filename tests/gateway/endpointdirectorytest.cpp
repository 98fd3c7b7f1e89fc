#include "gateway/endpointdirectory.h"

#include <gtest/gtest.h>

namespace Lentillock
{

namespace
{

class EndpointDirectoryTest : public testing::Test
{
protected:
    static EndpointRecord record(const std::string &id, std::int64_t startedAtMs = 100)
    {
        EndpointRecord result{.id = EndpointId(id)};
        result.service = "s";
        result.address = "10.0.0.1:80";
        result.startedAtMs = startedAtMs;
        return result;
    }

    static EndpointRecord draining(EndpointRecord result)
    {
        result.isDraining = true;
        return result;
    }

    void put(const EndpointRecord &entry)
    {
        directory_.apply({{.id = entry.id, .record = entry}}, now_);
    }

    void remove(const std::string &id)
    {
        directory_.apply({{.id = EndpointId(id), .record = std::nullopt}}, now_);
    }

    EndpointDirectory directory_;
    TimePoint now_{};
};

}

TEST_F(EndpointDirectoryTest, Endpoint_IsDraining_IsNotUsable)
{
    put(record("a"));
    EXPECT_EQ(directory_.usable("s").size(), 1U);
    put(draining(record("a")));
    EXPECT_TRUE(directory_.usable("s").empty());
}

// A heartbeat that was written before the endpoint began to drain but arrives after it must not make the endpoint usable again.
TEST_F(EndpointDirectoryTest, DrainingEndpoint_OldRecordArrives_KeepsDraining)
{
    put(draining(record("a")));
    put(record("a"));
    EXPECT_TRUE(directory_.usable("s").empty());
    remove("a");
    put(record("a"));
    EXPECT_TRUE(directory_.all().empty());
    EXPECT_EQ(directory_.staleRecordCount(), 2U);
}

TEST_F(EndpointDirectoryTest, DrainingEndpoint_RestartsWithSameId_IsUsable)
{
    put(draining(record("a", 100)));
    put(record("a", 200));
    EXPECT_EQ(directory_.usable("s").size(), 1U);
    EXPECT_EQ(directory_.takeRestartedOrRemoved(), (std::vector{EndpointId("a"), EndpointId("a")}));
}

// Guards against requests to a removed endpoint from a VM whose reads the store rejected while the other VMs could read it. Without an
// outage, a removal takes effect immediately.
TEST_F(EndpointDirectoryTest, RecordIsRemoved_NoOutage_IsGoneImmediately)
{
    put(record("a"));
    remove("a");
    EXPECT_TRUE(directory_.all().empty());
}

TEST_F(EndpointDirectoryTest, OutageEnded_RecordIsRemoved_RemovalIsDeferred)
{
    put(record("a"));
    put(record("b"));
    directory_.deferRemovals(now_);
    remove("a");
    remove("b");
    EXPECT_EQ(directory_.usable("s").size(), 2U);
    now_ += 1s;
    put(record("a"));
    now_ += 1500ms;
    directory_.applyDueRemovals(now_);
    ASSERT_EQ(directory_.usable("s").size(), 1U);
    EXPECT_EQ(directory_.usable("s")[0]->id, EndpointId("a"));
}

// Guards against endpoints that are dropped because their entries lapsed during an outage: they are listed again, but a VM that has not read the list
// since does not know that.
TEST_F(EndpointDirectoryTest, GracePeriodEnds_ListHasNotBeenReadSince_EndpointIsKept)
{
    put(record("a"));
    put(record("b"));
    directory_.deferRemovals(now_);
    remove("a");
    remove("b");
    const TimePoint readBefore = now_ + 1s;
    EXPECT_FALSE(directory_.hasDueRemovals(readBefore));
    now_ += 3s;
    EXPECT_TRUE(directory_.hasDueRemovals(now_));
    EXPECT_FALSE(directory_.applyDueRemovals(readBefore));
    EXPECT_EQ(directory_.usable("s").size(), 2U);
    put(record("a"));
    directory_.takeRestartedOrRemoved();
    EXPECT_TRUE(directory_.applyDueRemovals(now_));
    EXPECT_FALSE(directory_.hasDueRemovals(now_));
    ASSERT_EQ(directory_.usable("s").size(), 1U);
    EXPECT_EQ(directory_.takeRestartedOrRemoved(), std::vector<EndpointId>{EndpointId("b")});
}

TEST_F(EndpointDirectoryTest, AnotherOutageEnds_RemovalIsPending_GracePeriodStartsAgain)
{
    put(record("a"));
    directory_.deferRemovals(now_);
    remove("a");
    now_ += 2s;
    directory_.deferRemovals(now_);
    now_ += 2s;
    EXPECT_FALSE(directory_.hasDueRemovals(now_));
    EXPECT_FALSE(directory_.applyDueRemovals(now_));
    now_ += 1s;
    EXPECT_TRUE(directory_.applyDueRemovals(now_));
}

TEST_F(EndpointDirectoryTest, Directories_HaveSameRecords_HaveEqualDigests)
{
    EndpointDirectory other;
    other.replace({record("b"), record("a")}, now_);
    put(record("a"));
    EXPECT_NE(directory_.digest(), other.digest());
    put(record("b"));
    EXPECT_EQ(directory_.digest(), other.digest());
    put(draining(record("b")));
    EXPECT_NE(directory_.digest(), other.digest());
}

// The platform's list may be old, or have lost the endpoint for a while.
TEST_F(EndpointDirectoryTest, EndpointHasSaidThatItLeaves_IsNotUsable_WhateverIsListed)
{
    put(record("a"));
    const std::uint32_t digest = directory_.digest();
    EXPECT_TRUE(directory_.markLeaving(record("a")));
    EXPECT_FALSE(directory_.markLeaving(record("a")));
    EXPECT_TRUE(directory_.usable("s").empty());
    EXPECT_EQ(directory_.digest(), digest);
    put(record("a"));
    remove("a");
    put(record("a"));
    EXPECT_TRUE(directory_.usable("s").empty());
}

TEST_F(EndpointDirectoryTest, LeavingEndpointRestarts_NewIncarnation_IsUsable)
{
    put(record("a", 100));
    directory_.markLeaving(record("a", 100));
    put(record("a", 200));
    EXPECT_EQ(directory_.usable("s").size(), 1U);
    // A message about the earlier incarnation is late.
    EXPECT_FALSE(directory_.markLeaving(record("a", 100)));
    directory_.markLeaving(record("a", 200));
    EXPECT_FALSE(directory_.markLeaving(record("a", 100)));
    EXPECT_TRUE(directory_.usable("s").empty());
}

}
