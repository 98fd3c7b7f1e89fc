#include "claims/claimstatemachine.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cctype>

namespace Lentillock
{
namespace
{

class ClaimStateMachineTest : public testing::Test
{
protected:
    void record(ClaimRecordType type, const std::string &attempt, ClaimRunState outcome = ClaimRunState::Unknown)
    {
        stateMachine_.apply({stateMachine_.nextOffset(), time_, encodeClaimRecord({type, workspace_, key_, AttemptId(attempt), outcome})});
    }

    ClaimStatus status(const std::string &attempt)
    {
        return stateMachine_.result(workspace_, key_, AttemptId(attempt)).status;
    }

    const WallTime start_{milliseconds(1'700'000'000'000)};
    WallTime time_ = start_;
    WorkspaceId workspace_{"kingston-lc"};
    IdempotencyKey key_ = IdempotencyKey::create(start_, 42);
    ClaimStateMachine stateMachine_;
};

// Guards against two attempts that both win one key.
TEST_F(ClaimStateMachineTest, TwoClaimsOfOneKey_AreRead_FirstWins)
{
    record(ClaimRecordType::Claim, "a");
    record(ClaimRecordType::Claim, "b");
    EXPECT_EQ(status("a"), ClaimStatus::Won);
    EXPECT_EQ(status("b"), ClaimStatus::Lost);
}

// Guards against a claim that a paused writer appends after its attempt has been released.
TEST_F(ClaimStateMachineTest, ReleasePrecedesItsClaim_ClaimIsRead_IsIgnored)
{
    record(ClaimRecordType::Release, "a");
    record(ClaimRecordType::Claim, "a");
    EXPECT_EQ(status("a"), ClaimStatus::Released);
    record(ClaimRecordType::Claim, "b");
    EXPECT_EQ(status("b"), ClaimStatus::Won);
}

// Guards against an attempt that acquires the key again after its caller has been told that it was not run.
TEST_F(ClaimStateMachineTest, ReleasedAttempt_ClaimIsRepeated_StaysReleased)
{
    record(ClaimRecordType::Claim, "a");
    record(ClaimRecordType::Release, "a");
    record(ClaimRecordType::Claim, "a");
    EXPECT_EQ(status("a"), ClaimStatus::Released);
    record(ClaimRecordType::Claim, "b");
    EXPECT_EQ(status("b"), ClaimStatus::Won);
}

// Guards against a lost attempt that acquires the key when its claim is appended a second time.
TEST_F(ClaimStateMachineTest, ClaimThatLost_IsRepeatedAfterRelease_StaysLost)
{
    record(ClaimRecordType::Claim, "a");
    record(ClaimRecordType::Claim, "b");
    record(ClaimRecordType::Release, "a");
    record(ClaimRecordType::Claim, "b");
    EXPECT_EQ(status("b"), ClaimStatus::Lost);
    record(ClaimRecordType::Claim, "c");
    EXPECT_EQ(status("c"), ClaimStatus::Won);
}

// Guards against a late release that frees the key of a dispatched attempt, so that the request runs twice.
TEST_F(ClaimStateMachineTest, AttemptThatRan_IsReleased_KeepsItsKey)
{
    for (const ClaimRunState outcome : {ClaimRunState::Unknown, ClaimRunState::Ran}) {
        record(ClaimRecordType::Claim, "a");
        record(ClaimRecordType::Outcome, "a", outcome);
        record(ClaimRecordType::Release, "a");
        record(ClaimRecordType::Claim, "b");
        EXPECT_EQ(status("b"), ClaimStatus::Lost);
        EXPECT_EQ(stateMachine_.result(workspace_, key_, AttemptId("b")).winnerState, outcome);
    }
}

// Guards against granting a claim of a key whose state has been pruned.
TEST_F(ClaimStateMachineTest, ClaimOfOldKey_IsReadAfterPruning_IsIgnored)
{
    record(ClaimRecordType::Claim, "a");
    time_ += ClaimStateMachine::KeyWindow + 2s;
    record(ClaimRecordType::Claim, "b");
    EXPECT_EQ(stateMachine_.keyCount(), 0U);
    EXPECT_EQ(status("b"), ClaimStatus::Unread);
}

// Guards against deciding a key whose earlier claims have expired unread.
TEST_F(ClaimStateMachineTest, StartsAfterExpiredRecords_KeyIsOlderThanStart_IsRefused)
{
    stateMachine_.restart(100);
    record(ClaimRecordType::Claim, "b");
    EXPECT_EQ(status("b"), ClaimStatus::Refused);
    key_ = IdempotencyKey::create(start_ + ClaimStateMachine::MaxFutureSkew, 43);
    record(ClaimRecordType::Claim, "c");
    EXPECT_EQ(status("c"), ClaimStatus::Won);
}

// Guards against treating two spellings of one key as two keys.
TEST_F(ClaimStateMachineTest, KeyInUpperCase_IsParsed_EqualsLowerCase)
{
    std::string text = key_.toText();
    std::ranges::transform(text, text.begin(), [](unsigned char letter) { return static_cast<char>(std::toupper(letter)); });
    EXPECT_EQ(IdempotencyKey::parse(text), key_);
    EXPECT_EQ(key_.time(), start_);
    EXPECT_FALSE(IdempotencyKey::parse("6ba7b810-9dad-11d1-80b4-00c04fd430c8"));
}

}
}
