#include "gateway/loadexchangesimulation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>

namespace Lentillock
{

namespace
{

constexpr std::size_t ZoneCount = 5;

/// Within three digest intervals the standby notices that the reporter is silent; its digest follows and has to reach the other zones.
constexpr Duration TakeOverLimit = 4 * 60ms + 10ms;

/// The receivers notice that digests are missing, and tell the reporter with their next digest; it uses the other relay for its next one.
constexpr Duration RelaySwitchLimit = TakeOverLimit + 2 * 60ms + 10ms;

/// Time within which all VMs know a changed load if datagrams are lost: two refreshes of all sums by digests.
constexpr Duration ConvergenceTime = 3s;

class LoadExchangeTest : public testing::Test
{
protected:
    void startFleet(std::size_t vmCount, double lossRate = 0.03)
    {
        fleet_ = std::make_unique<LoadExchangeSimulation>(
            LoadExchangeSimulation::Options{.vmCount = vmCount, .zoneCount = ZoneCount, .lossRate = lossRate, .seed = 20261204});
        vmCount_ = vmCount;
        fleet_->startAll();
        fleet_->run(3s);
    }

    /// Runs with about one request per VM and second, each of which takes about a second.
    void runWithLoad(Duration duration)
    {
        std::mt19937 random(7);
        std::multimap<TimePoint, std::pair<std::size_t, FleetLoad::Ticket>> running;
        fleet_->run(duration, [&] {
            while (!running.empty() && running.begin()->first <= fleet_->now()) {
                fleet_->end(running.begin()->second.first, running.begin()->second.second);
                running.erase(running.begin());
            }
            for (std::size_t vm = 0; vm < vmCount_; ++vm) {
                if (random() % 100 == 0) {
                    const auto ticket = fleet_->begin(vm, random() % LoadExchangeSimulation::EndpointCount);
                    running.emplace(fleet_->now() + milliseconds(500 + random() % 1000), std::pair(vm, ticket));
                }
            }
            for (std::size_t vm = 0; vm < vmCount_; vm += 13) {
                const std::vector<Duration> ages = fleet_->groupLoadAges(vm);
                ages_.insert(ages_.end(), ages.begin(), ages.end());
            }
        });
    }

    /// Starts one long request on every VM.
    void beginRequests()
    {
        for (std::size_t vm = 0; vm < vmCount_; ++vm) {
            tickets_.push_back(fleet_->begin(vm, (vm * 7) % LoadExchangeSimulation::EndpointCount));
        }
    }

    /// Checks that the VMs outside of @p excludedZone know all requests in progress, and count none twice.
    void expectCorrectSums(std::optional<std::size_t> excludedZone = {})
    {
        for (std::size_t vm = 0; vm < vmCount_; vm += 11) {
            if (fleet_->zone(vm) != excludedZone) {
                ASSERT_EQ(fleet_->knownRequests(vm), fleet_->actualRequests()) << "VM " << vm;
            }
        }
    }

    /// Largest age of the loads of another group while the fleet runs for @p duration, on VMs outside of @p excludedZone.
    Duration largestAge(Duration duration, std::optional<std::size_t> excludedZone = {})
    {
        Duration largest{0};
        fleet_->run(duration, [&] {
            for (std::size_t vm = vmCount_ - 1; vm > vmCount_ / 2; vm -= 3) {
                for (const Duration age : fleet_->zone(vm) == excludedZone ? std::vector<Duration>() : fleet_->groupLoadAges(vm)) {
                    largest = std::max(largest, age);
                }
            }
        });
        return largest;
    }

    double percentileAgeMs(double fraction)
    {
        std::sort(ages_.begin(), ages_.end());
        return inMilliseconds(ages_.at(static_cast<std::size_t>(fraction * static_cast<double>(ages_.size()))));
    }

    double meanBytesPerSecond(Duration duration)
    {
        const auto total = [this] {
            double bytes = 0;
            for (std::size_t vm = 0; vm < vmCount_; ++vm) {
                bytes += static_cast<double>(fleet_->bytesSent(vm));
            }
            return bytes;
        };
        const double before = total();
        runWithLoad(duration);
        return (total() - before) / static_cast<double>(vmCount_) / (inMilliseconds(duration) / 1000);
    }

    std::unique_ptr<LoadExchangeSimulation> fleet_;
    std::size_t vmCount_ = 0;
    std::vector<FleetLoad::Ticket> tickets_;
    std::vector<Duration> ages_;
};

}

TEST_F(LoadExchangeTest, SmallFleet_IsOneGroup_AllLoadsAreKnown)
{
    startFleet(8);
    beginRequests();
    fleet_->run(1s);
    expectCorrectSums();
    EXPECT_TRUE(fleet_->load(0).groupAges(fleet_->now()).empty());
    EXPECT_EQ(fleet_->load(0).peerCount(), 7U);
}

// Guards against placement on old loads: with reports of all VMs to all others, 195 VMs could only afford one every 0.3 s.
TEST_F(LoadExchangeTest, Fleet195_LosesDatagrams_LoadsOfOtherZonesAreFresh)
{
    startFleet(195);
    runWithLoad(5s);
    EXPECT_LE(percentileAgeMs(0.95), 80);
    for (std::size_t vm = 0; vm < 195; ++vm) {
        ASSERT_EQ(fleet_->load(vm).peerCount(), 194U);
    }
}

TEST_F(LoadExchangeTest, Fleet811_GroupsAreDivided_SumsAreCorrect)
{
    startFleet(811);
    beginRequests();
    fleet_->run(ConvergenceTime);
    EXPECT_LE(fleet_->exchange(0).peers().members().size(), 60U);
    EXPECT_EQ(fleet_->load(0).peerCount(), 810U);
    expectCorrectSums();
}

// The traffic of a VM must grow at most with the square root of the fleet.
TEST_F(LoadExchangeTest, FleetGrows_BytesPerVm_GrowSlowly)
{
    startFleet(195);
    const double bytesAt195 = meanBytesPerSecond(2s);
    const std::size_t betweenZones = fleet_->bytesBetweenZones();
    RecordProperty("bytesPerSecondAt195", static_cast<int>(bytesAt195));
    startFleet(811);
    const double bytesAt811 = meanBytesPerSecond(2s);
    RecordProperty("bytesPerSecondAt811", static_cast<int>(bytesAt811));
    EXPECT_LE(bytesAt811, bytesAt195 * std::sqrt(811.0 / 195));
    EXPECT_LE(betweenZones, 10'000'000U);
}

TEST_F(LoadExchangeTest, Fleet_IsRunning_OneVmReadsTheStoreFirst_AndOneInEachGroup)
{
    startFleet(100);
    std::size_t firstInFleet = 0;
    std::size_t firstInGroup = 0;
    for (std::size_t vm = 0; vm < vmCount_; ++vm) {
        const ReaderRank rank = fleet_->exchange(vm).readerRank(fleet_->now());
        firstInFleet += rank.inFleet == 0 ? 1 : 0;
        firstInGroup += rank.inGroup == 0 ? 1 : 0;
    }
    EXPECT_EQ(firstInFleet, 1U);
    EXPECT_EQ(firstInGroup, ZoneCount);
}

// Guards against all VMs of a fleet that starts reading the store because none has heard of the others yet.
TEST_F(LoadExchangeTest, FleetHasJustStarted_ListedVms_CountForTheRank)
{
    fleet_ = std::make_unique<LoadExchangeSimulation>(LoadExchangeSimulation::Options{.vmCount = 16});
    for (std::size_t vm = 0; vm < 16; ++vm) {
        fleet_->start(vm);
    }
    EXPECT_GT(fleet_->exchange(15).readerRank(fleet_->now()).inGroup + fleet_->exchange(14).readerRank(fleet_->now()).inGroup, 0U);
}

TEST_F(LoadExchangeTest, Reporter_Dies_StandbyTakesOver)
{
    startFleet(100, 0);
    beginRequests();
    fleet_->run(1500ms);
    const std::size_t zone = 2;
    const std::size_t reporter = fleet_->reporter(zone);
    fleet_->kill(reporter);
    EXPECT_LE(largestAge(1s, zone), TakeOverLimit);
    EXPECT_NE(fleet_->reporter(zone), reporter);
    fleet_->run(4s);
    expectCorrectSums();
}

// The loads of a VM that is silent for a while must not disappear: its requests are still running.
TEST_F(LoadExchangeTest, Reporter_IsPausedForASecond_ItsRequestsStayInTheSums)
{
    startFleet(100, 0);
    beginRequests();
    fleet_->run(1500ms);
    const std::size_t reporter = fleet_->reporter(2);
    fleet_->pause(reporter);
    EXPECT_LE(largestAge(1s, 2), TakeOverLimit);
    expectCorrectSums();
    fleet_->resume(reporter);
    fleet_->run(1s);
    expectCorrectSums();
    EXPECT_EQ(fleet_->reporter(2), reporter);
}

TEST_F(LoadExchangeTest, Member_LosesItsReportsForTwoSeconds_ItsRequestsStayInTheSums)
{
    startFleet(100, 0);
    beginRequests();
    fleet_->run(1500ms);
    fleet_->isCut = [](std::size_t from, std::size_t) { return from == 42; };
    fleet_->run(2s);
    expectCorrectSums();
}

TEST_F(LoadExchangeTest, Reporter_CannotSend_StandbyTakesOver)
{
    startFleet(100, 0);
    beginRequests();
    fleet_->run(1500ms);
    const std::size_t reporter = fleet_->reporter(1);
    fleet_->isCut = [reporter](std::size_t from, std::size_t) { return from == reporter; };
    EXPECT_LE(largestAge(1s, 1), TakeOverLimit);
    expectCorrectSums();
}

// Guards against a reporter that no longer hears its group and reports empty sums for it.
TEST_F(LoadExchangeTest, Reporter_CannotReceive_SumsOfOtherZonesStayCorrect)
{
    startFleet(100, 0);
    beginRequests();
    fleet_->run(1500ms);
    const std::size_t reporter = fleet_->reporter(1);
    fleet_->isCut = [reporter](std::size_t, std::size_t to) { return to == reporter; };
    for (int step = 0; step < 60; ++step) {
        fleet_->run(100ms);
        for (std::size_t vm = 0; vm < vmCount_; vm += 11) {
            if (fleet_->zone(vm) != 1) {
                ASSERT_EQ(fleet_->knownRequests(vm), fleet_->actualRequests()) << "VM " << vm << ", " << step;
            }
        }
    }
}

TEST_F(LoadExchangeTest, Reporter_DoesNotReachOneZone_StandbySendsItsDigests)
{
    startFleet(100, 0);
    beginRequests();
    fleet_->run(1500ms);
    const std::size_t reporter = fleet_->reporter(1);
    fleet_->isCut = [this, reporter](std::size_t from, std::size_t to) { return from == reporter && fleet_->zone(to) == 3; };
    fleet_->run(500ms);
    EXPECT_LE(largestAge(1s, 1), TakeOverLimit);
    expectCorrectSums();
}

TEST_F(LoadExchangeTest, Relay_Dies_OtherRelayIsUsed)
{
    startFleet(100, 0);
    beginRequests();
    fleet_->run(1500ms);
    // One VM of zone 0 after another; some of them are relays for the other zones.
    for (std::size_t vm = 0; vm < 40; vm += ZoneCount) {
        fleet_->kill(vm);
        EXPECT_LE(largestAge(1500ms), RelaySwitchLimit) << "VM " << vm;
    }
    fleet_->run(4s);
    for (std::size_t vm = 40; vm < 100; ++vm) {
        EXPECT_EQ(fleet_->knownRequests(vm), fleet_->actualRequests());
    }
}

TEST_F(LoadExchangeTest, ZoneIsCutOff_ForFiveSeconds_SumsAreCorrectAfterwards)
{
    startFleet(100);
    beginRequests();
    fleet_->isCut = [this](std::size_t from, std::size_t to) { return (fleet_->zone(from) == 0) != (fleet_->zone(to) == 0); };
    fleet_->run(5s);
    fleet_->isCut = [](std::size_t, std::size_t) { return false; };
    fleet_->run(ConvergenceTime);
    expectCorrectSums();
}

TEST_F(LoadExchangeTest, Vm_Restarts_ItsOldRequestsNoLongerCount)
{
    startFleet(100, 0);
    beginRequests();
    fleet_->run(1500ms);
    fleet_->kill(17);
    fleet_->run(100ms);
    fleet_->start(17);
    fleet_->run(500ms);
    expectCorrectSums();
}

// A new VM must know the fleet within half a second. The refresh of the digests alone takes longer.
TEST_F(LoadExchangeTest, NewVm_HasIntroducedItself_KnowsTheFleet)
{
    startFleet(195, 0);
    beginRequests();
    fleet_->run(1500ms);
    fleet_->kill(23);
    fleet_->run(5s);
    fleet_->start(23);
    fleet_->run(100ms);
    EXPECT_EQ(fleet_->knownRequests(23), fleet_->actualRequests());
    EXPECT_EQ(fleet_->load(23).peerCount(), 194U);
}

TEST_F(LoadExchangeTest, AllVms_Restart_SumsAreCorrectAfterwards)
{
    startFleet(195);
    beginRequests();
    fleet_->run(1500ms);
    for (std::size_t vm = 0; vm < vmCount_; ++vm) {
        fleet_->kill(vm);
    }
    fleet_->startAll();
    fleet_->run(1s);
    beginRequests();
    fleet_->run(ConvergenceTime);
    expectCorrectSums();
}

// A VM that has removed all its requests must not leave them in the sums of others, even if datagrams are lost.
TEST_F(LoadExchangeTest, FleetOutgrowsOneGroup_NoVmCountsTwice)
{
    fleet_ = std::make_unique<LoadExchangeSimulation>(LoadExchangeSimulation::Options{.vmCount = 20, .zoneCount = 4, .seed = 20261204});
    for (std::size_t vm = 0; vm < 16; ++vm) {
        fleet_->start(vm);
        fleet_->begin(vm, vm);
    }
    fleet_->run(1s);
    EXPECT_EQ(fleet_->knownRequests(0), 16);
    for (std::size_t vm = 16; vm < 20; ++vm) {
        fleet_->start(vm);
    }
    fleet_->run(1s, [this] {
        for (std::size_t vm = 0; vm < 16; ++vm) {
            ASSERT_LE(fleet_->knownRequests(vm), 16) << "VM " << vm;
        }
    });
    for (std::size_t vm = 0; vm < 20; ++vm) {
        EXPECT_EQ(fleet_->knownRequests(vm), 16) << "VM " << vm;
    }
}

TEST_F(LoadExchangeTest, Requests_End_SumsBecomeEmpty)
{
    startFleet(195);
    beginRequests();
    fleet_->run(1s);
    for (std::size_t vm = 0; vm < vmCount_; ++vm) {
        fleet_->end(vm, tickets_[vm]);
    }
    fleet_->run(3500ms);
    for (std::size_t vm = 0; vm < vmCount_; ++vm) {
        EXPECT_EQ(fleet_->knownRequests(vm), 0) << "VM " << vm;
    }
}

}
