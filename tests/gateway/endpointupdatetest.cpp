#include "gateway/endpointupdate.h"

#include "gateway/datagramchecksum.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Lentillock
{

namespace
{

class EndpointUpdateTest : public testing::Test
{
protected:
    static EndpointRecord record(const std::string &id, std::int64_t startedAtMs = 100)
    {
        EndpointRecord result{.id = EndpointId(id)};
        result.service = "s";
        result.address = "10.0.0.1:80";
        result.zone = ZoneId("z");
        result.slots = 10;
        result.startedAtMs = startedAtMs;
        return result;
    }

    static EndpointChange change(const EndpointRecord &entry)
    {
        return {.id = entry.id, .record = entry};
    }

    static EndpointChange removal(const std::string &id)
    {
        return {.id = EndpointId(id), .record = std::nullopt};
    }

    /// Applies the datagrams of @p update to @p receiver, as another VM does.
    static void deliver(const EndpointUpdate &update, EndpointDirectory &receiver, RecentEndpointChanges &recent, TimePoint now)
    {
        for (const std::string &bytes : encodeEndpointUpdate(update)) {
            const auto part = decodeEndpointUpdate(bytes);
            ASSERT_TRUE(part.has_value());
            recent.apply(receiver, part->changes, now);
        }
    }

    TimePoint now_ = TimePoint(1000s);
    EndpointDirectory directory_;
    RecentEndpointChanges recent_;
};

}

TEST_F(EndpointUpdateTest, Update_IsEncodedAndDecoded_IsUnchanged)
{
    EndpointRecord leaving = record("b");
    leaving.isDraining = true;
    const EndpointUpdate update{.position = {.era = 2, .offset = 12}, .digest = 4'000'000'000, .changes = {change(record("a")), change(leaving), removal("c")}};
    const auto datagrams = encodeEndpointUpdate(update);
    ASSERT_EQ(datagrams.size(), 1U);
    EXPECT_EQ(decodeEndpointUpdate(datagrams.front()), update);
    const EndpointUpdate statement{.position = {.offset = 12}, .digest = 1, .leaving = {record("d")}};
    EXPECT_EQ(decodeEndpointUpdate(encodeEndpointUpdate(statement).front()), statement);
}

// VMs of an earlier version state no era.
TEST_F(EndpointUpdateTest, UpdateStatesNoEra_ItsEra_IsUnknown)
{
    std::string bytes = R"(LTE4{"offset":12,"digest":1,"changes":[]})";
    appendChecksum(bytes);
    EXPECT_EQ(decodeEndpointUpdate(bytes), (EndpointUpdate{.position = {.era = 0, .offset = 12}, .digest = 1}));
}

TEST(StorePositionTest, EraIsHigher_OffsetIsLower_Position_IsLater)
{
    EXPECT_GT((StorePosition{.era = 2, .offset = 1}), (StorePosition{.era = 1, .offset = 100}));
    EXPECT_GT((StorePosition{.era = 2, .offset = 2}), (StorePosition{.era = 2, .offset = 1}));
}

TEST_F(EndpointUpdateTest, UpdateIsLarge_IsDividedIntoDatagrams_ThatArriveWhole)
{
    EndpointUpdate update{.position = {.offset = 12}, .digest = 1};
    for (int index = 0; index < 100; ++index) {
        update.changes.push_back(change(record("endpoint-" + std::to_string(index))));
    }
    std::vector<EndpointChange> received;
    for (const std::string &bytes : encodeEndpointUpdate(update)) {
        EXPECT_LE(bytes.size(), 1400U);
        const auto part = decodeEndpointUpdate(bytes);
        ASSERT_TRUE(part.has_value());
        EXPECT_EQ(part->digest, update.digest);
        received.insert(received.end(), part->changes.begin(), part->changes.end());
    }
    EXPECT_EQ(received, update.changes);
}

TEST_F(EndpointUpdateTest, Datagram_HasAnyChangedByte_IsIgnored)
{
    std::string bytes = encodeEndpointUpdate({.position = {.offset = 1}, .digest = 2, .changes = {change(record("a")), removal("b")}}).front();
    for (char &byte : bytes) {
        byte = static_cast<char>(byte ^ 0x10);
        EXPECT_FALSE(decodeEndpointUpdate(bytes).has_value());
        byte = static_cast<char>(byte ^ 0x10);
    }
}

RC_GTEST_PROP(EndpointUpdateCodecTest, AnyBytes_AreDecoded_NothingIsAccepted, (const std::string &bytes))
{
    RC_ASSERT(!decodeEndpointUpdate(bytes).has_value() && !decodeEndpointUpdate("LTE4" + bytes).has_value());
}

// Endpoints repeat their records as heartbeats; these must not be sent to the group.
TEST_F(EndpointUpdateTest, RecordIsRepeated_IsNotRecorded)
{
    EXPECT_TRUE(recent_.apply(directory_, {change(record("a"))}, now_));
    EXPECT_FALSE(recent_.apply(directory_, {change(record("a"))}, now_));
    EXPECT_EQ(recent_.list(now_).size(), 1U);
    EXPECT_TRUE(recent_.list(now_ + 4s).empty());
}

TEST_F(EndpointUpdateTest, EndpointChangesAgain_OnlyItsLastChangeIsListed)
{
    recent_.apply(directory_, {change(record("a")), change(record("b")), removal("a")}, now_);
    EXPECT_EQ(recent_.list(now_), (std::vector{change(record("b")), removal("a")}));
}

TEST_F(EndpointUpdateTest, ReceiverHasMissedAnUpdate_NextOne_MakesTheListsEqual)
{
    EndpointDirectory receiver;
    RecentEndpointChanges receiverRecent;
    recent_.apply(directory_, {change(record("a")), change(record("b"))}, now_);
    EndpointRecord leaving = record("a");
    leaving.isDraining = true;
    recent_.apply(directory_, {change(leaving), removal("b")}, now_ + 1s);
    deliver({.position = {.offset = 9}, .digest = directory_.digest(), .changes = recent_.list(now_ + 1s)}, receiver, receiverRecent, now_ + 1s);
    EXPECT_EQ(receiver.digest(), directory_.digest());
    EXPECT_TRUE(receiver.usable("s").empty());
}

// A removal that the receiver defers after an outage of the store must not make it believe that its list is equal.
TEST_F(EndpointUpdateTest, ReceiverDefersRemovals_ListsDifferUntilTheyAreDue)
{
    EndpointDirectory receiver;
    RecentEndpointChanges receiverRecent;
    recent_.apply(directory_, {change(record("a"))}, now_);
    receiverRecent.apply(receiver, {change(record("a"))}, now_);
    receiver.deferRemovals(now_);
    recent_.apply(directory_, {removal("a")}, now_);
    deliver({.position = {.offset = 9}, .digest = directory_.digest(), .changes = recent_.list(now_)}, receiver, receiverRecent, now_);
    EXPECT_NE(receiver.digest(), directory_.digest());
    receiver.applyDueRemovals(now_ + 3s);
    EXPECT_EQ(receiver.digest(), directory_.digest());
}

}
