#include "gateway/crashattribution.h"
#include "gateway/crashattributioncodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace Lentillock
{

namespace
{

constexpr PromptPartId Shared{0xa};
constexpr PromptPartId Crashing{0xb};
constexpr PromptPartId Other{0xc};
constexpr Duration InitialBlockTime = 60s;

class CrashAttributionTest : public testing::Test
{
protected:
    /// A run with @p parts ends with a crash of @p endpoint.
    void crash(const PromptParts &parts, std::uint64_t endpoint, Duration after = 300ms)
    {
        now_ += after;
        attribution_.recordCrash({.run = ++runs_, .endpoint = endpoint, .at = now_, .parts = parts}, now_);
    }

    /// A run of the prompt with @p hash ends with a crash of @p endpoint.
    void crashPrompt(std::uint64_t hash, const PromptParts &parts, std::uint64_t endpoint, Duration after = 300ms)
    {
        now_ += after;
        attribution_.recordCrash({.run = ++runs_, .endpoint = endpoint, .at = now_, .parts = parts, .promptHash = hash}, now_);
    }

    /// Three independent crashes of runs with @p parts.
    void crashThreeTimes(const PromptParts &parts)
    {
        for (std::uint64_t endpoint = 1; endpoint <= BlockingCrashes; ++endpoint) {
            crash(parts, endpoint);
        }
    }

    /// Crashes of @p endpoint while runs with @p prompts wait, of which nothing has arrived.
    void crashWhileWaiting(const std::vector<PromptParts> &prompts, std::uint64_t endpoint, Duration after = 300ms)
    {
        now_ += after;
        for (const PromptParts &parts : prompts) {
            attribution_.recordCrash({.run = ++runs_, .endpoint = endpoint, .at = now_, .parts = parts, .stage = CrashedRunStage::Waiting}, now_);
        }
    }

    /// Lets the time pass in which other VMs tell what a crash has ended.
    void waitForReports()
    {
        now_ += 250ms;
        attribution_.expire(now_);
    }

    void start(const PromptParts &parts)
    {
        now_ += 10ms;
        attribution_.recordStart(parts, now_);
    }

    PromptPartDecision::Kind decide(const PromptIdentity &prompt, bool mayTry = false)
    {
        return attribution_.decide(prompt, mayTry, now_).kind;
    }

    void expectRejected(const PromptIdentity &prompt)
    {
        EXPECT_EQ(decide(prompt), PromptPartDecision::Kind::Reject);
    }

    void expectSent(const PromptIdentity &prompt)
    {
        EXPECT_EQ(decide(prompt), PromptPartDecision::Kind::Send);
    }

    CrashAttribution attribution_{InitialBlockTime};
    TimePoint now_ = TimePoint(1000s);
    std::uint64_t runs_ = 0;
};

TEST_F(CrashAttributionTest, PartCrashesThreeEndpoints_IsBlocked_OthersAreNot)
{
    crash({Shared, Crashing}, 1);
    crash({Other, Crashing}, 2);
    expectSent({Crashing});
    EXPECT_TRUE(attribution_.isSuspected({Crashing}));
    crash({Shared, Crashing}, 3);
    expectRejected({Shared, Crashing});
    expectRejected({Crashing});
    expectSent({Shared});
    expectSent({Other});
}

// Guards against blocking a workspace whose first part all crashed requests have, too.
TEST_F(CrashAttributionTest, PartsAreAlwaysTogether_AreBlocked_OnlyTogether)
{
    crashThreeTimes({Shared, Crashing});
    expectRejected({Shared, Crashing, Other});
    expectSent({Shared, Other});
    expectSent({Shared});
}

TEST_F(CrashAttributionTest, SharedPartStartsMeanwhile_OtherPartIsBlocked_Alone)
{
    crash({Shared, Crashing}, 1);
    crash({Shared, Crashing}, 2);
    start({Shared});
    crash({Shared, Crashing}, 3);
    expectSent({Shared});
    expectRejected({Other, Crashing});
}

TEST_F(CrashAttributionTest, BlockedPartCrashesWithAnotherPart_IsBlocked_Alone)
{
    crashThreeTimes({Shared, Crashing});
    expectSent({Other, Crashing});
    crash({Other, Crashing}, 4);
    expectRejected({Crashing});
    expectSent({Shared});
    expectSent({Other});
}

// Guards against blaming the first part of a workspace when its crashes are already explained.
TEST_F(CrashAttributionTest, CrashesAreExplainedByBlock_AccompanyingPart_IsNotSuspected)
{
    crash({Shared, Crashing}, 1);
    crash({Other, Crashing}, 2);
    crash({Shared, Crashing}, 3);
    crash({Shared, Crashing}, 4);
    crash({Shared, Crashing}, 5);
    expectRejected({Crashing});
    EXPECT_FALSE(attribution_.isSuspected({Shared}));
    expectSent({Shared});
}

TEST_F(CrashAttributionTest, SecondPartCrashesEndpoints_WhileFirstIsBlocked_BothAreBlocked)
{
    crashThreeTimes({Shared, Crashing});
    crash({Shared, Other}, 4);
    crash({Shared, Other}, 5);
    start({Shared});
    crash({Shared, Other}, 6);
    expectRejected({Crashing, Shared});
    expectRejected({Other});
    expectSent({Shared});
}

// Guards against blaming popular parts when a part of the fleet crashes at the same time.
TEST_F(CrashAttributionTest, ManyEndpointsCrashAtOnce_NoPart_IsBlocked)
{
    for (std::uint64_t endpoint = 1; endpoint <= 40; ++endpoint) {
        crash({Shared}, endpoint, 4ms);
    }
    expectSent({Shared});
}

// Guards against blaming a part for one broken endpoint that crashes again and again.
TEST_F(CrashAttributionTest, OneEndpointCrashesRepeatedly_NoPart_IsBlocked)
{
    for (int count = 0; count < 10; ++count) {
        crash({Shared}, 1);
    }
    expectSent({Shared});
}

TEST_F(CrashAttributionTest, PartStartsBetweenCrashes_IsNotBlocked_HoweverManyCrashes)
{
    for (std::uint64_t endpoint = 1; endpoint <= 50; ++endpoint) {
        crash({Shared}, endpoint);
        start({Shared, Other});
    }
    expectSent({Shared});
}

TEST_F(CrashAttributionTest, BlockedPartStarts_IsReleased_AndStaysReleased)
{
    crashThreeTimes({Shared, Crashing});
    start({Shared, Crashing});
    expectSent({Shared, Crashing});
    crash({Shared, Crashing}, 9);
    expectSent({Shared, Crashing});
}

TEST_F(CrashAttributionTest, BlockTimeEnds_OneRequestIsTried_ByOneVm)
{
    crashThreeTimes({Crashing});
    EXPECT_LE(attribution_.decide({Crashing}, true, now_).retryAfter, InitialBlockTime);
    now_ += InitialBlockTime;
    expectRejected({Crashing});
    EXPECT_EQ(decide({Crashing}, true), PromptPartDecision::Kind::Try);
    EXPECT_EQ(decide({Crashing}, true), PromptPartDecision::Kind::Reject);
    now_ += 31s; // The caller of the first one has left.
    EXPECT_EQ(decide({Crashing}, true), PromptPartDecision::Kind::Try);
}

TEST_F(CrashAttributionTest, TrialCrashesEndpoint_BlockTime_Doubles)
{
    crashThreeTimes({Crashing});
    Duration blockTime = InitialBlockTime;
    for (int trial = 0; trial < 10; ++trial) {
        now_ += blockTime;
        ASSERT_EQ(decide({Crashing}, true), PromptPartDecision::Kind::Try);
        crash({Crashing}, 20);
        blockTime = std::min<Duration>(2 * blockTime, MaxBlockTime);
        EXPECT_EQ(attribution_.decide({Crashing}, true, now_).retryAfter, blockTime);
    }
}

// Guards against a block that lasts longer than it should because the crash of the trial was confirmed only when the endpoint returned.
TEST_F(CrashAttributionTest, CrashOfTrialIsConfirmedLate_BlockTime_CountsFromTheCrash)
{
    crashThreeTimes({Crashing});
    now_ += InitialBlockTime;
    ASSERT_EQ(decide({Crashing}, true), PromptPartDecision::Kind::Try);
    const TimePoint crashedAt = now_ + 100ms;
    now_ += 5s;
    attribution_.recordCrash({.run = ++runs_, .endpoint = 9, .at = crashedAt, .parts = {Crashing}}, now_);
    ASSERT_EQ(attribution_.blocks().size(), 1U);
    EXPECT_EQ(attribution_.blocks().front().until, crashedAt + 2 * InitialBlockTime);
}

TEST_F(CrashAttributionTest, RunBeforeTheBlockIsConfirmedAfterIt_Block_IsNotProlonged)
{
    const TimePoint lostAt = now_;
    crashThreeTimes({Crashing});
    const TimePoint until = attribution_.blocks().front().until;
    now_ = until + 1s;
    attribution_.recordCrash({.run = ++runs_, .endpoint = 9, .at = lostAt, .parts = {Crashing}}, now_);
    EXPECT_EQ(attribution_.blocks().front().until, until);
}

TEST_F(CrashAttributionTest, TrialStarts_Part_IsReleased)
{
    crashThreeTimes({Crashing});
    now_ += InitialBlockTime;
    ASSERT_EQ(decide({Crashing}, true), PromptPartDecision::Kind::Try);
    start({Crashing});
    expectSent({Crashing});
}

TEST_F(CrashAttributionTest, RequestMatchesTwoBlocks_IsNotTried_WhileBothAreInForce)
{
    crashThreeTimes({Crashing});
    crashThreeTimes({Other});
    now_ += InitialBlockTime;
    EXPECT_EQ(decide({Crashing, Other}, true), PromptPartDecision::Kind::Reject);
    EXPECT_EQ(decide({Crashing}, true), PromptPartDecision::Kind::Try);
}

// Guards against endpoints that crash before the first byte of the response has left.
TEST_F(CrashAttributionTest, NothingHasArrivedInFiveCrashes_CommonPart_IsBlocked_Alone)
{
    for (std::uint64_t endpoint = 1; endpoint <= 4; ++endpoint) {
        crashWhileWaiting({{Shared, Crashing}, {Shared, {endpoint + 100}}}, endpoint);
        waitForReports();
        expectSent({Crashing});
    }
    start({Shared});
    crashWhileWaiting({{Shared, Crashing}}, 5);
    expectSent({Crashing});
    waitForReports();
    expectRejected({Shared, Crashing});
    expectSent({Shared});
    expectSent({Shared, {101}});
}

// Guards against blocking what all suspects have in common, if fewer of them explain the crashes as well.
TEST_F(CrashAttributionTest, SharedPartIsInAllWaitingRuns_NarrowerPart_IsBlocked_Alone)
{
    for (std::uint64_t endpoint = 1; endpoint <= 5; ++endpoint) {
        crashWhileWaiting({{Shared, {endpoint + 100}}, {Shared, Crashing}, {Shared, {endpoint + 200}}}, endpoint);
    }
    waitForReports();
    expectRejected({Shared, Crashing});
    expectSent({Shared});
    expectSent({Shared, {101}});
}

TEST_F(CrashAttributionTest, WaitingRunsAndResponseStarts_AreAddedUp)
{
    crash({Crashing}, 1);
    crashWhileWaiting({{Crashing}}, 2);
    crash({Crashing}, 3);
    waitForReports();
    expectSent({Crashing});
    crashWhileWaiting({{Crashing}}, 4);
    waitForReports();
    expectRejected({Crashing});
}

TEST_F(CrashAttributionTest, PartStartsWhileEndpointsCrash_VictimsThatWaited_AreNotBlocked)
{
    for (std::uint64_t endpoint = 1; endpoint <= 20; ++endpoint) {
        crashWhileWaiting({{Shared}, {Shared, Other}}, endpoint);
        if (endpoint % 4 == 0) {
            start({Shared, Other});
        }
        waitForReports();
    }
    expectSent({Shared});
    expectSent({Shared, Other});
}

// Guards against a rack that loses power: all requests that waited on its endpoints are victims.
TEST_F(CrashAttributionTest, RackCrashesFourTimes_PartsThatWaited_AreNotBlocked)
{
    for (int crashes = 0; crashes < 4; ++crashes) {
        now_ += 1s;
        for (std::uint64_t endpoint = 1; endpoint <= 10; ++endpoint) {
            crashWhileWaiting({{Shared}, {Shared, Other}, {Crashing}}, endpoint, 10ms);
        }
        waitForReports();
    }
    expectSent({Shared});
    expectSent({Shared, Other});
    expectSent({Crashing});
}

// An endpoint that ends slowly loses the runs that it has accepted since only when its listener is closed.
TEST_F(CrashAttributionTest, EndpointLosesRunsTwiceInOneCrash_CountsOnce)
{
    for (std::uint64_t endpoint = 1; endpoint <= 4; ++endpoint) {
        crashWhileWaiting({{Crashing}}, endpoint);
        crashWhileWaiting({{Crashing}}, endpoint, 500ms);
    }
    waitForReports();
    expectSent({Crashing});
}

TEST_F(CrashAttributionTest, BlockExplainsCrash_OtherRunsOfThisCrash_AreNoEvidence)
{
    crashThreeTimes({Crashing});
    for (std::uint64_t endpoint = 11; endpoint <= 20; ++endpoint) {
        crashWhileWaiting({{Shared, Crashing}, {Shared, Other}}, endpoint);
    }
    waitForReports();
    expectRejected({Crashing});
    expectSent({Shared});
    expectSent({Shared, Other});
}

TEST_F(CrashAttributionTest, VictimsThatWaited_AreSentOnce_UntilOtherCrashesImplicateTheirParts)
{
    crashWhileWaiting({{Shared}, {Other}}, 1);
    EXPECT_EQ(attribution_.update(now_).crashes.size(), 2U);
    now_ += 10s;
    EXPECT_TRUE(attribution_.update(now_).isEmpty());
    crashWhileWaiting({{Other}}, 2);
    now_ += 10s;
    EXPECT_EQ(attribution_.update(now_).crashes.size(), 2U);
}

TEST_F(CrashAttributionTest, EvidenceIsOld_IsForgotten)
{
    crash({Crashing}, 1);
    crash({Crashing}, 2);
    now_ += CrashRetention + 1s;
    attribution_.expire(now_);
    EXPECT_EQ(attribution_.crashCount(), 0U);
    crash({Crashing}, 3);
    expectSent({Crashing});
}

// Guards against one request, sent again and again, that crashes endpoint after endpoint while all requests with its first part are rejected.
TEST_F(CrashAttributionTest, PromptCrashesTwoEndpoints_IsBlocked_RequestsWithItsPartsAreNot)
{
    crashPrompt(1, {Shared}, 1);
    expectSent({{Shared}, 1});
    crashPrompt(1, {Shared}, 2);
    expectRejected({{Shared}, 1});
    expectSent({{Shared}, 2});
    expectSent({Shared});
}

TEST_F(CrashAttributionTest, OnePromptCrashesAgainAndAgain_SharedPart_IsNotBlocked)
{
    for (std::uint64_t endpoint = 1; endpoint <= 6; ++endpoint) {
        crashPrompt(1, {Shared}, endpoint);
    }
    expectSent({{Shared}, 2});
}

TEST_F(CrashAttributionTest, PromptsWithOnePartCrash_Part_IsBlocked)
{
    crashPrompt(1, {Shared, Crashing}, 1);
    crashPrompt(1, {Shared, Crashing}, 2);
    start({Shared});
    expectSent({{Shared, Crashing}, 2});
    crashPrompt(2, {Shared, Crashing}, 3);
    expectRejected({{Shared, Crashing}, 3});
    expectSent({{Shared}, 4});
}

// Guards against blaming a part that a request at the start of its response on the same endpoint has, too.
TEST_F(CrashAttributionTest, AnotherPromptIsAVictimOfOneCrash_SharedPart_IsNotBlocked)
{
    crashPrompt(1, {Shared}, 1);
    crashPrompt(2, {Shared}, 1, 5ms);
    crashPrompt(1, {Shared}, 2);
    crashPrompt(1, {Shared}, 3);
    expectRejected({{Shared}, 1});
    expectSent({{Shared}, 2});
}

TEST_F(CrashAttributionTest, PromptStartsBetweenCrashes_IsNotBlocked)
{
    for (std::uint64_t endpoint = 1; endpoint <= 6; ++endpoint) {
        crashPrompt(1, {}, endpoint);
        now_ += 10ms;
        attribution_.recordStart({{}, 1}, now_);
    }
    expectSent({{}, 1});
}

// Guards against rejecting a frequent call because a part of the fleet crashes at the same time.
TEST_F(CrashAttributionTest, ManyEndpointsCrashAtOnce_NoPromptOrCall_IsBlocked)
{
    for (std::uint64_t endpoint = 1; endpoint <= 8; ++endpoint) {
        crashPrompt(1, {}, endpoint, 5ms);
        crashPrompt(2, {Shared}, endpoint, 5ms);
    }
    expectSent({{}, 1});
    expectSent({{Shared}, 2});
}

TEST_F(CrashAttributionTest, RequestHasNoParts_ItsPromptCrashesThreeEndpoints_IsBlockedAndReleased)
{
    crashPrompt(1, {}, 1);
    crashPrompt(1, {}, 2);
    expectSent({{}, 1});
    crashPrompt(1, {}, 3);
    expectRejected({{}, 1});
    expectSent({{}, 2});
    now_ += InitialBlockTime;
    EXPECT_EQ(decide({{}, 1}, true), PromptPartDecision::Kind::Try);
    attribution_.recordStart({{}, 1}, now_);
    expectSent({{}, 1});
}

TEST_F(CrashAttributionTest, OneEndpointCrashesTwiceWithAPrompt_Prompt_IsNotBlocked)
{
    crashPrompt(1, {Shared}, 1);
    crashPrompt(1, {Shared}, 1);
    expectSent({{Shared}, 1});
}

// Guards against callers that make the gateway keep as much as they like.
TEST_F(CrashAttributionTest, CallersSendManyParts_Memory_IsBounded)
{
    for (std::uint64_t part = 0; part < 3 * MaxStartCrashes; ++part) {
        crashThreeTimes({{part}, {1'000'000 + part}});
    }
    EXPECT_LE(attribution_.crashCount(), MaxStartCrashes);
    EXPECT_LE(attribution_.blocks().size(), MaxPromptPartBlocks);
    expectRejected({{3 * MaxStartCrashes - 1}, {1'000'000 + 3 * MaxStartCrashes - 1}});
}

TEST_F(CrashAttributionTest, EvidenceComesFromThreeVms_EachOrder_IsBlocked)
{
    CrashAttributionUpdate update;
    for (std::uint64_t run = 1; run <= BlockingCrashes; ++run) {
        update.crashes.push_back({.run = run, .endpoint = run, .at = now_ + run * 300ms, .parts = {Shared, Crashing}});
    }
    std::sort(update.crashes.begin(), update.crashes.end());
    do {
        CrashAttribution receiver(InitialBlockTime);
        for (const StartCrash &crash : update.crashes) {
            receiver.merge({.crashes = {crash}}, now_ + 1s);
            receiver.merge({.crashes = {crash}}, now_ + 1s);
        }
        EXPECT_TRUE(receiver.isBlocked({Shared, Crashing}));
        EXPECT_FALSE(receiver.isBlocked({Shared}));
    } while (std::next_permutation(update.crashes.begin(), update.crashes.end()));
}

// Guards against a crash that a VM hears of only after it has seen the part start again.
TEST_F(CrashAttributionTest, EvidenceArrivesAfterStart_Part_IsSound)
{
    const TimePoint crashedAt = now_;
    start({Shared});
    CrashAttributionUpdate update;
    for (std::uint64_t run = 1; run <= 5; ++run) {
        update.crashes.push_back({.run = run, .endpoint = run, .at = crashedAt - run * 300ms, .parts = {Shared}});
    }
    attribution_.merge(update, now_);
    expectSent({Shared});
    EXPECT_TRUE(attribution_.hasUnsentVerdicts());
}

TEST_F(CrashAttributionTest, ReleaseArrives_OlderBlockFollows_StaysReleased)
{
    crashThreeTimes({Crashing});
    CrashAttribution other(InitialBlockTime);
    other.merge(attribution_.update(now_), now_);
    const CrashAttributionUpdate blocked = attribution_.update(now_);
    start({Crashing});
    other.merge({.blocks = attribution_.update(now_).blocks}, now_);
    other.merge({.blocks = blocked.blocks}, now_ + 1s);
    other.merge({.crashes = blocked.crashes}, now_ + 1s);
    EXPECT_FALSE(other.isBlocked({Crashing}));
}

/// Simulates a service whose endpoints crash independently of the prompts. Each crash hits a run that is at the start of its response with
/// probability StartShare; between two crashes a part starts normally if it is used at all.
class FalseBlockTest : public testing::Test
{
protected:
    static constexpr int RunsPerPart = 3;
    static constexpr int WaitingRunsPerPart = 5;

    /// Whether @p runs consecutive runs with a sound part block it, if each is lost at @p stage with probability @p share.
    static bool isBlocked(std::mt19937 &random, double share, CrashedRunStage stage, int runs)
    {
        CrashAttribution attribution(InitialBlockTime);
        TimePoint now(1000s);
        for (int run = 0; run < runs; ++run) {
            now += 1s;
            if (std::uniform_real_distribution<>()(random) < share) {
                attribution.recordCrash({.run = random(), .endpoint = random(), .at = now, .parts = {Shared}, .stage = stage}, now);
            } else {
                attribution.recordStart({Shared}, now);
            }
        }
        attribution.expire(now + 1s);
        return attribution.isBlocked({Shared});
    }

    int countBlocks(int trials, double share, CrashedRunStage stage = CrashedRunStage::ResponseStart, int runs = RunsPerPart)
    {
        std::mt19937 random(20261205);
        int blocked = 0;
        for (int trial = 0; trial < trials; ++trial) {
            blocked += isBlocked(random, share, stage, runs) ? 1 : 0;
        }
        RecordProperty("blocked", blocked);
        return blocked;
    }
};

// The bound is q^3 for q = 0.05, so 25 blocks are expected in 200,000 trials; 45 is four standard deviations above.
TEST_F(FalseBlockTest, CrashesAreIndependentOfPrompts_SoundPart_IsRarelyBlocked)
{
    EXPECT_LE(countBlocks(200'000, 0.05), 45);
}

// A run is also at the start of its response while its head arrives. If that takes as long as an event, q doubles: 50 blocks are expected in 50,000
// trials; 79 is four standard deviations above.
TEST_F(FalseBlockTest, HeadsArriveInPieces_SoundPart_IsRarelyBlocked)
{
    EXPECT_LE(countBlocks(50'000, 0.1), 79);
}

// The bound is w^5 for w = 1/6, so 26 blocks are expected in 200,000 trials; 47 is four standard deviations above.
TEST_F(FalseBlockTest, RunsWaitWhenEndpointsCrash_SoundPart_IsRarelyBlocked)
{
    EXPECT_LE(countBlocks(200'000, 1.0 / 6, CrashedRunStage::Waiting, WaitingRunsPerPart), 47);
}

// Two consecutive runs of a sound prompt block it with a probability of at most q^2; 100 blocks are expected in 40,000 trials, 140 is four standard
// deviations above.
TEST_F(FalseBlockTest, CrashesAreIndependentOfPrompts_SoundPrompt_IsRarelyBlocked)
{
    std::mt19937 random(20261205);
    int blocked = 0;
    for (int trial = 0; trial < 40'000; ++trial) {
        CrashAttribution attribution(InitialBlockTime);
        const PromptIdentity prompt{{Shared}, 1};
        for (const TimePoint at : {TimePoint(1000s), TimePoint(1001s)}) {
            if (std::uniform_real_distribution<>()(random) < 0.05) {
                attribution.recordCrash({.run = random(), .endpoint = random(), .at = at, .parts = prompt.parts, .promptHash = prompt.hash}, at);
            } else {
                attribution.recordStart(prompt, at);
            }
        }
        blocked += attribution.isBlocked(prompt) ? 1 : 0;
        EXPECT_FALSE(attribution.isBlocked({{Shared}, 2}));
    }
    EXPECT_LE(blocked, 140);
}

class CrashAttributionCodecTest : public testing::Test
{
protected:
    static CrashAttributionUpdate sample(TimePoint now)
    {
        CrashAttributionUpdate update;
        for (std::uint64_t run = 1; run <= 100; ++run) {
            update.crashes.push_back(
                {.run = run, .endpoint = run * 7, .at = now - run * 1ms, .parts = {Shared, {run}}, .soundParts = 1, .promptHash = run + 1});
        }
        update.crashes.push_back({.run = 1000, .endpoint = 7, .at = now, .promptHash = 9, .isPromptSound = true});
        update.crashes.push_back({.run = 1001, .endpoint = 7, .at = now, .parts = {Shared}, .stage = CrashedRunStage::Waiting});
        update.blocks.push_back({.promptHash = 9, .revision = 1, .since = now - 5s, .until = now + 55s});
        update.blocks.push_back({.parts = {Crashing}, .revision = 3, .since = now - 5s, .until = now + 55s, .failedTrials = 1});
        return update;
    }

    const TimePoint now_ = TimePoint(5000s);
};

TEST_F(CrashAttributionCodecTest, Update_IsEncodedAndDecoded_IsTheSame)
{
    CrashAttributionUpdate decoded;
    const std::vector<std::string> datagrams = encodeCrashAttribution(sample(now_), true, now_);
    EXPECT_GT(datagrams.size(), 1U);
    for (const std::string &bytes : datagrams) {
        EXPECT_LE(bytes.size(), 1400U);
        const auto message = decodeCrashAttribution(bytes, now_);
        ASSERT_TRUE(message);
        EXPECT_TRUE(message->mustForward);
        decoded.crashes.insert(decoded.crashes.end(), message->update.crashes.begin(), message->update.crashes.end());
        decoded.blocks.insert(decoded.blocks.end(), message->update.blocks.begin(), message->update.blocks.end());
    }
    EXPECT_EQ(decoded, sample(now_));
}

TEST_F(CrashAttributionCodecTest, Datagram_IsDamagedOrTruncated_IsRejected)
{
    const std::string bytes = encodeCrashAttribution(sample(now_), false, now_).front();
    for (std::size_t index = 0; index < bytes.size(); ++index) {
        std::string damaged = bytes;
        damaged[index] = static_cast<char>(damaged[index] ^ 1);
        EXPECT_FALSE(decodeCrashAttribution(damaged, now_)) << index;
        EXPECT_FALSE(decodeCrashAttribution(bytes.substr(0, index), now_)) << index;
    }
}

RC_GTEST_FIXTURE_PROP(CrashAttributionCodecTest, Datagram_IsAnyBytes_DoesNotThrow, (const std::string &bytes))
{
    decodeCrashAttribution(bytes, now_);
    decodeCrashAttribution("LTC3" + bytes, now_);
}

}

}
