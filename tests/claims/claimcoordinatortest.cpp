#include "claims/claimcoordinator.h"
#include "fakes/fakelog.h"

#include <gtest/gtest.h>

namespace Lentillock
{
namespace
{

class ClaimCoordinatorTest : public testing::Test
{
protected:
    ClaimCoordinatorTest()
    {
        log_.setTime(wallStart_);
    }

    ClaimActions propose(std::uint64_t token, const std::string &attempt)
    {
        return coordinator_.propose(now_, wallStart_, {token, workspace_, key_, AttemptId(attempt), now_ + 5s});
    }

    ClaimActions read()
    {
        return coordinator_.readFinished(now_, log_.read("claims-00", coordinator_.nextOffset(), 100), now_, true);
    }

    const WallTime wallStart_{milliseconds(1'700'000'000'000)};
    TimePoint now_{std::chrono::hours(1)};
    WorkspaceId workspace_{"kingston-lc"};
    IdempotencyKey key_ = IdempotencyKey::create(wallStart_, 42);
    FakeLog log_;
    ClaimCoordinator coordinator_;
};

// Guards against a verdict that is given because an append succeeded: the log may contain an earlier claim of the key.
TEST_F(ClaimCoordinatorTest, AppendIsAnswered_RecordIsNotRead_GivesNoVerdict)
{
    const auto append = std::get<AppendRecords>(propose(1, "a").at(0));
    log_.append("claims-00", append.records);
    EXPECT_TRUE(coordinator_.appendFinished(now_, append.batch, AppendResult::Appended).empty());
    EXPECT_EQ(std::get<AnswerClaim>(read().at(0)).verdict, ClaimDecision::Won);
}

// Guards against a claim that is never decided because its append had no effect and the result of the append was lost.
TEST_F(ClaimCoordinatorTest, AppendIsLost_EndOfLogIsRead_AppendsAgain)
{
    const auto append = std::get<AppendRecords>(propose(1, "a").at(0));
    now_ += 1s;
    EXPECT_TRUE(coordinator_.appendFinished(now_, append.batch, AppendResult::Unknown).empty());
    EXPECT_EQ(std::get<AppendRecords>(read().at(0)).records, append.records);
}

// Guards against giving two different verdicts on one attempt.
TEST_F(ClaimCoordinatorTest, AttemptIsProposedAgain_AfterVerdict_GetsTheSameAnswerWithoutAppend)
{
    const auto append = std::get<AppendRecords>(propose(1, "a").at(0));
    log_.append("claims-00", append.records);
    coordinator_.appendFinished(now_, append.batch, AppendResult::Appended);
    read();
    const ClaimActions again = propose(2, "a");
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(std::get<AnswerClaim>(again.at(0)).verdict, ClaimDecision::Won);
}

// Guards against one append per claim, which would exceed the append rate of the log.
TEST_F(ClaimCoordinatorTest, ManyClaims_WithinOneInterval_ShareAnAppend)
{
    const auto first = std::get<AppendRecords>(propose(1, "a").at(0));
    EXPECT_TRUE(propose(2, "b").empty());
    EXPECT_TRUE(propose(3, "c").empty());
    coordinator_.appendFinished(now_, first.batch, AppendResult::Appended);
    now_ += ClaimCoordinator::AppendInterval;
    EXPECT_EQ(std::get<AppendRecords>(coordinator_.advance(now_).at(0)).records.size(), 2U);
}

// Guards against refusing every key of a stream whose records have all expired, because no record gives the start time.
TEST_F(ClaimCoordinatorTest, AllRecordsHaveExpired_EndIsRead_AppendsMark)
{
    coordinator_.recordsExpired(now_, 100);
    const auto append = std::get<AppendRecords>(coordinator_.readFinished(now_, {{}, 100, 100}, now_, true).at(0));
    EXPECT_EQ(decodeClaimRecord(append.records.at(0))->type, ClaimRecordType::Mark);
}

}
}
