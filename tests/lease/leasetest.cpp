#include "fakes/fakelogservice.h"
#include "lease/leaseholder.h"
#include "lease/leasetable.h"

#include <boost/leaf/handle_errors.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <vector>

namespace Lentillock
{
namespace
{

class LeaseTableTest : public testing::Test
{
protected:
    bool isGranted(const std::string &holder, milliseconds duration, std::uint64_t basis, milliseconds at)
    {
        const LeaseRecord record{"id" + std::to_string(offset_), "orders", holder, duration, basis};
        const auto decision = table_.apply({offset_++, WallTime(at), encodeLeaseRecord(record)});
        return decision && decision->isGranted;
    }

    LeaseTable table_{true};
    std::uint64_t offset_ = 1;
};

TEST_F(LeaseTableTest, HeldLease_IsNotGrantedToAnother_UntilItHasLapsed)
{
    EXPECT_TRUE(isGranted("a", 10s, 0, 100s));
    EXPECT_FALSE(isGranted("b", 10s, 1, 105s));
    EXPECT_TRUE(isGranted("a", 10s, 1, 108s));
    EXPECT_FALSE(isGranted("b", 10s, 3, 111s));
    EXPECT_TRUE(isGranted("b", 10s, 4, 118s));
    EXPECT_EQ(table_.find("orders")->fencing, 5U);
}

// Guards against a paused holder whose late append takes the lease back although it has not seen the new holder.
TEST_F(LeaseTableTest, RecordWithoutKnowledgeOfLastGrant_IsRefused)
{
    EXPECT_TRUE(isGranted("a", 10s, 0, 100s));
    EXPECT_TRUE(isGranted("b", 10s, 1, 120s));
    EXPECT_FALSE(isGranted("a", 10s, 1, 140s));
    EXPECT_TRUE(isGranted("a", 10s, 2, 141s));
}

TEST_F(LeaseTableTest, GivenUpLease_IsGrantedAtOnce)
{
    EXPECT_TRUE(isGranted("a", 10s, 0, 100s));
    EXPECT_TRUE(isGranted("a", 0s, 1, 101s));
    EXPECT_TRUE(isGranted("b", 10s, 2, 101s));
}

// Guards against granting a lease that a holder from before the start of the fold still has.
TEST_F(LeaseTableTest, IncompleteFold_IsUncertain_UntilOldLeasesHaveLapsed)
{
    table_ = LeaseTable(false);
    isGranted("a", 10s, 0, 100s);
    EXPECT_FALSE(table_.isCertain());
    isGranted("a", 10s, 1, 100s + LeaseTable::UncertainTime);
    EXPECT_TRUE(table_.isCertain());
}

TEST_F(LeaseTableTest, MalformedRecords_ChangeNothing)
{
    for (const char *data : {"", "{}", "[]", R"({"id":"x","resource":"orders","holder":"a","durationMs":99999999,"basis":0})"}) {
        EXPECT_FALSE(table_.apply({offset_++, WallTime(1s), data}));
    }
    EXPECT_EQ(table_.find("orders"), nullptr);
    EXPECT_EQ(table_.nextOffset(), offset_);
}

/// A process that folds the log and wants the lease.
class Contender
{
public:
    Contender(std::string name, FakeLogService &log, std::uint64_t seed)
        : log_(log)
        , holder_({.resource = "orders", .holder = std::move(name), .seed = seed})
    {
    }

    void read(TimePoint now)
    {
        const auto batch = log_.read(LeaseStream, std::max<std::uint64_t>(table_.nextOffset(), 1), 1000, 0ms, 1s);
        if (!batch) {
            return;
        }
        for (const LogRecord &record : batch->records) {
            if (const auto decision = table_.apply(record)) {
                holder_.decided(now, *decision);
            }
        }
    }

    /// Decides on an append at @p now, which is carried out by the returned function.
    std::optional<LeaseRecord> prepare(TimePoint now)
    {
        return holder_.nextAppend(now, table_);
    }

    void append(const LeaseRecord &record)
    {
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_CHECK(log_.append(LeaseStream, {encodeLeaseRecord(record)}, 1s));
                return {};
            },
            [] {});
    }

    void step(TimePoint now)
    {
        read(now);
        if (const auto record = prepare(now)) {
            append(*record);
        }
        read(now);
    }

    LeaseHolder &holder()
    {
        return holder_;
    }

private:
    FakeLogService &log_;
    LeaseTable table_{true};
    LeaseHolder holder_;
};

class LeaseHolderTest : public testing::Test
{
protected:
    void advance(milliseconds time)
    {
        now_ += time;
        wallNow_ += time;
        log_.setTime(wallNow_);
    }

    TimePoint now_{1h};
    WallTime wallNow_{1h};
    FakeLogService log_;
    Contender first_{"first", log_, 1};
    Contender second_{"second", log_, 2};
};

TEST_F(LeaseHolderTest, HeldLease_IsRenewed_AndKept)
{
    for (int i = 0; i < 60; ++i) {
        first_.step(now_);
        second_.step(now_);
        EXPECT_TRUE(first_.holder().fencing(now_));
        EXPECT_FALSE(second_.holder().fencing(now_));
        advance(1s);
    }
    EXPECT_LT(log_.history(LeaseStream).size(), 15U);
}

// Guards against a holder that acts after a pause as if it still held the lease.
TEST_F(LeaseHolderTest, HolderPausedPastItsLease_HasNoFencingNumber_AndOtherTakesOver)
{
    first_.step(now_);
    const std::uint64_t fencing = first_.holder().fencing(now_).value();
    for (int i = 0; i < 20; ++i) {
        advance(1s);
        second_.step(now_);
    }
    EXPECT_FALSE(first_.holder().fencing(now_));
    EXPECT_GT(second_.holder().fencing(now_).value(), fencing);
    first_.step(now_);
    EXPECT_FALSE(first_.holder().fencing(now_));
}

// Guards against counting a lease from the moment at which its late grant was read: it may have lapsed long before.
TEST_F(LeaseHolderTest, GrantThatIsReadLate_CountsFromTheMomentItWasSent)
{
    first_.read(now_);
    const auto record = first_.prepare(now_);
    ASSERT_TRUE(record);
    first_.append(*record);
    advance(14s);
    first_.read(now_);
    EXPECT_FALSE(first_.holder().fencing(now_));
}

TEST_F(LeaseHolderTest, GivenUpLease_IsTakenOverSoon)
{
    first_.step(now_);
    LeaseTable table(true);
    for (const LogRecord &record : log_.history(LeaseStream)) {
        table.apply(record);
    }
    const auto record = first_.holder().giveUp(now_, table);
    ASSERT_TRUE(record);
    first_.append(*record);
    EXPECT_FALSE(first_.holder().fencing(now_));
    for (int i = 0; i < 3; ++i) {
        advance(1s);
        second_.step(now_);
        first_.step(now_);
    }
    EXPECT_TRUE(second_.holder().fencing(now_));
    EXPECT_FALSE(first_.holder().fencing(now_));
}

// Guards against two holders at the same time, for any pauses between reading, deciding and appending, lost and late appends and outages.
RC_GTEST_PROP(LeaseHolderProperty, PausesAndFaults_NeverTwoValidHolders, ())
{
    FakeLogService log;
    std::vector<std::unique_ptr<Contender>> contenders;
    std::vector<std::optional<LeaseRecord>> prepared(3);
    for (std::uint64_t i = 0; i < prepared.size(); ++i) {
        contenders.push_back(std::make_unique<Contender>("vm" + std::to_string(i), log, i));
    }
    TimePoint now{1h};
    WallTime wallNow{1h};
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange(0, 60)));
    for (const auto &[kind, choice] : steps) {
        const std::size_t index = static_cast<std::size_t>(choice) % contenders.size();
        if (kind < 3) {
            contenders[index]->step(now);
        } else if (kind == 3) {
            prepared[index] = contenders[index]->prepare(now);
        } else if (kind == 4 && prepared[index]) {
            contenders[index]->append(*prepared[index]);
        } else if (kind == 5) {
            contenders[index]->read(now);
        } else if (kind == 6) {
            log.addAppendFault(static_cast<FakeLogService::AppendFault>(choice % 4));
        } else if (kind == 7) {
            log.flushDelayed();
        } else if (kind == 8) {
            log.setOutage(choice % 3 == 0);
        }
        now += choice * 100ms;
        wallNow += choice * 100ms;
        log.setTime(wallNow);
        int valid = 0;
        for (const auto &contender : contenders) {
            valid += contender->holder().fencing(now) ? 1 : 0;
        }
        RC_ASSERT(valid <= 1);
    }
}

}
}
