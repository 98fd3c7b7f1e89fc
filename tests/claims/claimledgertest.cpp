#include "claims/claimledger.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cctype>

namespace Lentillock
{
namespace
{

class ClaimLedgerTest : public testing::Test
{
protected:
    void record(ClaimRecordType type, const std::string &attempt, ClaimRunState outcome = ClaimRunState::Unknown)
    {
        ledger_.apply({ledger_.nextOffset(), time_, encodeClaimRecord({type, workspace_, key_, AttemptId(attempt), outcome})});
    }

    ClaimStanding standing(const std::string &attempt)
    {
        return ledger_.result(workspace_, key_, AttemptId(attempt)).standing;
    }

    const WallTime start_{milliseconds(1'700'000'000'000)};
    WallTime time_ = start_;
    WorkspaceId workspace_{"kingston-lc"};
    IdempotencyKey key_ = IdempotencyKey::create(start_, 42);
    ClaimLedger ledger_;
};

// Guards against two winners of one key.
TEST_F(ClaimLedgerTest, TwoClaimsOfOneKey_AreRead_FirstWins)
{
    record(ClaimRecordType::Claim, "a");
    record(ClaimRecordType::Claim, "b");
    EXPECT_EQ(standing("a"), ClaimStanding::Won);
    EXPECT_EQ(standing("b"), ClaimStanding::Lost);
}

// Guards against a claim that a paused writer appends after its attempt was given up.
TEST_F(ClaimLedgerTest, ReleasePrecedesItsClaim_ClaimIsRead_IsIgnored)
{
    record(ClaimRecordType::Release, "a");
    record(ClaimRecordType::Claim, "a");
    EXPECT_EQ(standing("a"), ClaimStanding::Released);
    record(ClaimRecordType::Claim, "b");
    EXPECT_EQ(standing("b"), ClaimStanding::Won);
}

// Guards against an attempt that holds the key again after its caller was told that it was not run.
TEST_F(ClaimLedgerTest, ReleasedAttempt_ClaimIsRepeated_StaysReleased)
{
    record(ClaimRecordType::Claim, "a");
    record(ClaimRecordType::Release, "a");
    record(ClaimRecordType::Claim, "a");
    EXPECT_EQ(standing("a"), ClaimStanding::Released);
    record(ClaimRecordType::Claim, "b");
    EXPECT_EQ(standing("b"), ClaimStanding::Won);
}

// Guards against a loser that becomes the holder when its claim is appended a second time.
TEST_F(ClaimLedgerTest, ClaimThatLost_IsRepeatedAfterRelease_StaysLost)
{
    record(ClaimRecordType::Claim, "a");
    record(ClaimRecordType::Claim, "b");
    record(ClaimRecordType::Release, "a");
    record(ClaimRecordType::Claim, "b");
    EXPECT_EQ(standing("b"), ClaimStanding::Lost);
    record(ClaimRecordType::Claim, "c");
    EXPECT_EQ(standing("c"), ClaimStanding::Won);
}

// Guards against a second run after a release that arrives late.
TEST_F(ClaimLedgerTest, AttemptThatRan_IsReleased_KeepsItsKey)
{
    for (const ClaimRunState outcome : {ClaimRunState::Unknown, ClaimRunState::Ran}) {
        record(ClaimRecordType::Claim, "a");
        record(ClaimRecordType::Outcome, "a", outcome);
        record(ClaimRecordType::Release, "a");
        record(ClaimRecordType::Claim, "b");
        EXPECT_EQ(standing("b"), ClaimStanding::Lost);
        EXPECT_EQ(ledger_.result(workspace_, key_, AttemptId("b")).winnerState, outcome);
    }
}

// Guards against a claim of a key that the fold has already forgotten.
TEST_F(ClaimLedgerTest, ClaimOfOldKey_IsReadAfterPruning_IsIgnored)
{
    record(ClaimRecordType::Claim, "a");
    time_ += ClaimLedger::KeyWindow + 2s;
    record(ClaimRecordType::Claim, "b");
    EXPECT_EQ(ledger_.keyCount(), 0U);
    EXPECT_EQ(standing("b"), ClaimStanding::Unread);
}

// Guards against a fold that decides a key without having read the earlier claims of it.
TEST_F(ClaimLedgerTest, FoldStartsAfterExpiredRecords_KeyIsOlderThanStart_IsRefused)
{
    ledger_.restart(100);
    record(ClaimRecordType::Claim, "b");
    EXPECT_EQ(standing("b"), ClaimStanding::Refused);
    key_ = IdempotencyKey::create(start_ + ClaimLedger::MaxFutureSkew, 43);
    record(ClaimRecordType::Claim, "c");
    EXPECT_EQ(standing("c"), ClaimStanding::Won);
}

// Guards against two spellings of one key that are claimed separately.
TEST_F(ClaimLedgerTest, KeyInUpperCase_IsParsed_EqualsLowerCase)
{
    std::string text = key_.toText();
    std::ranges::transform(text, text.begin(), [](unsigned char letter) { return static_cast<char>(std::toupper(letter)); });
    EXPECT_EQ(IdempotencyKey::parse(text), key_);
    EXPECT_EQ(key_.time(), start_);
    EXPECT_FALSE(IdempotencyKey::parse("6ba7b810-9dad-11d1-80b4-00c04fd430c8"));
}

}
}
