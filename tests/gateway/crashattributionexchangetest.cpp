#include "gateway/loadexchangesimulation.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace Lentillock
{

namespace
{

constexpr std::size_t ZoneCount = 5;
constexpr PromptPartId Shared{0xa};
constexpr PromptPartId Crashing{0xb};
const PromptParts CrashingPrompt{Shared, Crashing};

/// By this time after the crash that is the last one needed, all VMs must reject the requests.
constexpr Duration StableWindow = 3s;

/// Time within which a VM knows what the others do, without a disruption. It covers one refresh, and its loss.
constexpr Duration VerdictTime = 1600ms;

class CrashAttributionExchangeTest : public testing::TestWithParam<std::size_t>
{
protected:
    void SetUp() override
    {
        fleet_ = std::make_unique<LoadExchangeSimulation>(
            LoadExchangeSimulation::Options{.vmCount = GetParam(), .zoneCount = ZoneCount, .lossRate = 0.03, .seed = 20261205});
        fleet_->startAll();
        fleet_->run(3s);
    }

    /// Each crash is seen by one VM, in different zones and groups. Sound requests of the workspace start all the time.
    void crashThreeTimes()
    {
        for (std::size_t crash = 0; crash < BlockingCrashes; ++crash) {
            fleet_->crash(crash * GetParam() / BlockingCrashes + crash, crash, CrashingPrompt);
            fleet_->run(300ms);
            fleet_->startRun(GetParam() / 2, {Shared});
        }
    }

    [[nodiscard]] std::size_t blockingVms()
    {
        std::size_t count = 0;
        for (std::size_t vm = 0; vm < GetParam(); ++vm) {
            count += fleet_->attribution(vm).isBlocked(CrashingPrompt) ? 1 : 0;
        }
        return count;
    }

    void expectSharedPartIsSent()
    {
        for (std::size_t vm = 0; vm < GetParam(); ++vm) {
            ASSERT_FALSE(fleet_->attribution(vm).isBlocked({Shared})) << "VM " << vm;
        }
    }

    /// Largest number of bytes that a VM sends in @p duration.
    std::size_t mostBytesSent(Duration duration)
    {
        std::vector<std::size_t> before;
        for (std::size_t vm = 0; vm < GetParam(); ++vm) {
            before.push_back(fleet_->bytesSent(vm));
        }
        fleet_->run(duration);
        std::size_t most = 0;
        for (std::size_t vm = 0; vm < GetParam(); ++vm) {
            most = std::max(most, fleet_->bytesSent(vm) - before[vm]);
        }
        return most;
    }

    std::unique_ptr<LoadExchangeSimulation> fleet_;
};

}

TEST_P(CrashAttributionExchangeTest, EachVmSeesOneCrash_AllVms_Block)
{
    crashThreeTimes();
    fleet_->run(VerdictTime);
    EXPECT_EQ(blockingVms(), GetParam());
    expectSharedPartIsSent();
}

TEST_P(CrashAttributionExchangeTest, ReportersDie_AllVms_Block)
{
    std::vector<std::size_t> paused;
    for (std::size_t vm = 0; vm < GetParam(); ++vm) {
        if (fleet_->exchange(vm).isReporter()) {
            fleet_->pause(vm);
            paused.push_back(vm);
        }
    }
    std::size_t witness = 0;
    for (std::size_t crash = 0; crash < BlockingCrashes; ++crash) {
        do {
            ++witness;
        } while (std::find(paused.begin(), paused.end(), witness) != paused.end());
        fleet_->crash(witness, crash, CrashingPrompt);
        fleet_->run(300ms);
    }
    fleet_->run(StableWindow);
    EXPECT_EQ(blockingVms(), GetParam() - paused.size());
    expectSharedPartIsSent();
    for (const std::size_t vm : paused) {
        fleet_->resume(vm);
    }
    fleet_->run(VerdictTime);
    EXPECT_EQ(blockingVms(), GetParam());
}

// The VM that has seen one of the crashes reaches only its own zone, or none of the relays.
TEST_P(CrashAttributionExchangeTest, VmDoesNotReachOtherZones_AllVms_Block)
{
    const std::size_t witness = GetParam() - 1;
    fleet_->isCut = [this, witness](std::size_t from, std::size_t to) { return from == witness && fleet_->zone(to) != fleet_->zone(witness); };
    if (GetParam() < 16) {
        return; // Its zone may have no other VM.
    }
    for (std::size_t crash = 0; crash < BlockingCrashes; ++crash) {
        fleet_->crash(witness, crash, CrashingPrompt);
        fleet_->run(300ms);
    }
    fleet_->run(StableWindow);
    EXPECT_EQ(blockingVms(), GetParam());
}

TEST_P(CrashAttributionExchangeTest, VmRestarts_Blocks_BeforeItsFirstRequests)
{
    crashThreeTimes();
    fleet_->run(5s);
    fleet_->kill(3);
    fleet_->run(2s);
    fleet_->start(3);
    fleet_->run(VerdictTime);
    EXPECT_TRUE(fleet_->attribution(3).isBlocked(CrashingPrompt));
}

TEST_P(CrashAttributionExchangeTest, BlockIsReleased_AllVms_SendAgain)
{
    crashThreeTimes();
    fleet_->run(VerdictTime);
    fleet_->startRun(2, CrashingPrompt);
    fleet_->run(VerdictTime);
    EXPECT_EQ(blockingVms(), 0U);
    fleet_->run(5s);
    EXPECT_EQ(blockingVms(), 0U);
}

// Guards against a storm of datagrams when a suspected part is popular and all VMs see it start normally.
TEST_P(CrashAttributionExchangeTest, PopularPartStartsOnAllVms_Traffic_IsBounded)
{
    const std::size_t quietBytes = mostBytesSent(2s);
    for (std::size_t crash = 0; crash < 20; ++crash) {
        fleet_->crash(crash % GetParam(), crash, {Shared});
    }
    for (std::size_t vm = 0; vm < GetParam(); ++vm) {
        fleet_->run(1ms);
        fleet_->startRun(vm, {Shared});
    }
    const std::size_t bytes = mostBytesSent(2s);
    RecordProperty("quietBytes", static_cast<int>(quietBytes));
    RecordProperty("bytes", static_cast<int>(bytes));
    EXPECT_LE(bytes, quietBytes + 400'000);
    expectSharedPartIsSent();
}

// After the evidence is shared, a fleet with a block sends little more than one without.
TEST_P(CrashAttributionExchangeTest, PartIsBlocked_Traffic_StaysSmall)
{
    const std::size_t quietBytes = mostBytesSent(5s);
    crashThreeTimes();
    fleet_->run(2s);
    EXPECT_LE(mostBytesSent(5s), quietBytes + 200'000);
}

TEST_P(CrashAttributionExchangeTest, NothingIsKnown_NoDatagram_IsSent)
{
    for (std::size_t vm = 0; vm < GetParam(); ++vm) {
        CrashAttributionExchange exchange(fleet_->attribution(vm), fleet_->exchange(vm));
        EXPECT_TRUE(exchange.takeDue(fleet_->now()).empty());
        EXPECT_EQ(exchange.nextDue(), TimePoint::max());
    }
}

INSTANTIATE_TEST_SUITE_P(FleetSizes, CrashAttributionExchangeTest, testing::Values(8, 195));

/// Random histories of crashes and normal starts on all VMs.
class CrashAttributionAgreementTest : public testing::TestWithParam<std::size_t>
{
protected:
    /// Plays the history of @p seed. Returns the prompts on which VMs disagree VerdictTime after its end.
    std::vector<std::string> playHistory(unsigned seed, bool hasWaitingRuns = false)
    {
        LoadExchangeSimulation fleet({.vmCount = GetParam(), .zoneCount = ZoneCount, .lossRate = 0.03, .seed = seed});
        fleet.startAll();
        fleet.run(2s);
        std::mt19937 random(seed);
        const auto draw = [&random](std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(random); };
        for (int event = 0; event < 40; ++event) {
            const PromptIdentity &prompt = prompts_.at(draw(prompts_.size()));
            if (draw(3) == 0) {
                fleet.startRun(draw(GetParam()), prompt);
            } else {
                const auto stage = hasWaitingRuns && draw(2) == 0 ? CrashedRunStage::Waiting : CrashedRunStage::ResponseStart;
                fleet.crash(draw(GetParam()), draw(8), prompt, stage);
            }
            fleet.run(milliseconds(draw(200)));
        }
        fleet.run(VerdictTime);
        std::vector<std::string> disagreements;
        for (const PromptIdentity &prompt : prompts_) {
            std::size_t blocking = 0;
            for (std::size_t vm = 0; vm < GetParam(); ++vm) {
                blocking += fleet.attribution(vm).isBlocked(prompt) ? 1 : 0;
            }
            if (blocking != 0 && blocking != GetParam()) {
                disagreements.push_back(promptPartsText(prompt.parts) + ' ' + promptHashText(prompt.hash) + ": " + std::to_string(blocking));
            }
        }
        return disagreements;
    }

    const std::vector<PromptIdentity> prompts_{{{Shared}, 1}, {{Shared}, 2}, {{Shared, Crashing}, 3}, {{Shared, Crashing}, 4}, {{Crashing}, 5}, {{}, 6}};
};

// Guards against VMs that block a prompt while others send it on: the crashes go on, and sound requests are rejected by some VMs only.
TEST_P(CrashAttributionAgreementTest, CrashesAndStartsAreSeenAnywhere_AllVms_AgreeOnBlocks)
{
    const unsigned histories = GetParam() < 16 ? 200 : 1400 / static_cast<unsigned>(GetParam());
    for (unsigned seed = 1; seed <= histories; ++seed) {
        EXPECT_EQ(playHistory(seed), std::vector<std::string>()) << "seed " << seed;
    }
}

TEST_P(CrashAttributionAgreementTest, HalfOfTheRunsWait_AllVms_AgreeOnBlocks)
{
    const unsigned histories = GetParam() < 16 ? 200 : 700 / static_cast<unsigned>(GetParam());
    for (unsigned seed = 1; seed <= histories; ++seed) {
        EXPECT_EQ(playHistory(seed, true), std::vector<std::string>()) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(FleetSizes, CrashAttributionAgreementTest, testing::Values(7, 70, 195));

class LargeFleetCrashAttributionExchangeTest : public CrashAttributionExchangeTest
{
};

TEST_P(LargeFleetCrashAttributionExchangeTest, CrashesAndRestart_AllVms_BlockWithBoundedTraffic)
{
    const std::size_t quietBytes = mostBytesSent(2s);
    crashThreeTimes();
    fleet_->kill(3);
    const std::size_t bytes = mostBytesSent(2s);
    RecordProperty("quietBytes", static_cast<int>(quietBytes));
    RecordProperty("bytes", static_cast<int>(bytes));
    EXPECT_LE(bytes, quietBytes + 400'000);
    fleet_->start(3);
    fleet_->run(VerdictTime);
    EXPECT_EQ(blockingVms(), GetParam());
    expectSharedPartIsSent();
}

INSTANTIATE_TEST_SUITE_P(FleetSizes, LargeFleetCrashAttributionExchangeTest, testing::Values(811));

}
