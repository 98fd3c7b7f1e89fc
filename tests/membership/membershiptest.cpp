#include "membership/membershipsimulation.h"

#include <gtest/gtest.h>

namespace Lentillock
{
namespace
{

// Part of a day that one second is, and the restarts of a day at the design size.
constexpr double SecondsPerDay = 86400;
constexpr double RestartsPerDay = 1300;
/// Budget for all control traffic of a daemon.
constexpr double BytesPerSecond = 7000;

class MembershipSizeTest : public testing::TestWithParam<std::size_t>
{
};

// Guards against members that never learn of each other, and against traffic that grows with the number of members.
TEST_P(MembershipSizeTest, MembersStartTogether_WithLoss_ConvergeWithinBudget)
{
    MembershipSimulation simulation(GetParam(), 7, 0.05);
    ASSERT_TRUE(simulation.runUntilConverged(90s));
    simulation.run(30s);
    EXPECT_TRUE(simulation.converged());
    EXPECT_LE(simulation.takeTraffic().largest, 1400U);
    simulation.run(30s);
    const auto traffic = simulation.takeTraffic();
    // Each message is sent by one member and received by another, so a member handles twice what it sends.
    EXPECT_LT(2.0 * static_cast<double>(traffic.bytes) / 30 / static_cast<double>(GetParam()), BytesPerSecond);
}

INSTANTIATE_TEST_SUITE_P(Sizes, MembershipSizeTest, testing::Values(7, 50, 150));

class MembershipTest : public testing::Test
{
protected:
    MembershipSimulation simulation_{30, 11, 0.05};
};

// Guards against claims and reclaim duties that stay with a dead VM.
TEST_F(MembershipTest, MemberDies_OthersNotice_Within15Seconds)
{
    ASSERT_TRUE(simulation_.runUntilConverged(60s));
    simulation_.kill(17);
    EXPECT_TRUE(simulation_.runUntilDetected(17, 15s));
}

// Guards against a member that is taken for its dead predecessor.
TEST_F(MembershipTest, MemberIsRestarted_WithNewIncarnation_IsLiveAgain)
{
    ASSERT_TRUE(simulation_.runUntilConverged(60s));
    simulation_.kill(17);
    ASSERT_TRUE(simulation_.runUntilDetected(17, 15s));
    simulation_.restart(17);
    EXPECT_TRUE(simulation_.runUntilConverged(20s));
}

// Guards against two halves that stay apart after a network cut between zones has healed.
TEST_F(MembershipTest, ZoneIsCutOff_CutHeals_MembersMeetAgain)
{
    ASSERT_TRUE(simulation_.runUntilConverged(60s));
    simulation_.cut(10);
    simulation_.run(60s);
    EXPECT_EQ(simulation_.member(0).liveVms().size(), 10U);
    EXPECT_EQ(simulation_.member(20).liveVms().size(), 20U);
    simulation_.cut(0);
    EXPECT_TRUE(simulation_.runUntilConverged(60s));
}

// Guards against a process that declares all others dead when it wakes up.
TEST_F(MembershipTest, MemberWakesUp_AfterPause_SuspectsNobody)
{
    ASSERT_TRUE(simulation_.runUntilConverged(60s));
    // A short pause of another member makes it suspect at the time when this member is paused.
    simulation_.pause(4);
    const VmId other("vm-4");
    while (simulation_.member(3).find(other)->status != MemberStatus::Suspect) {
        simulation_.run(50ms);
    }
    simulation_.pause(3);
    simulation_.resume(4);
    simulation_.run(2min);
    simulation_.resume(3);
    for (int i = 0; i < 100; ++i) {
        simulation_.run(50ms);
        EXPECT_EQ(simulation_.member(3).liveVms().size(), 30U);
    }
    EXPECT_TRUE(simulation_.runUntilConverged(20s));
}

// Guards against live members that flap because of lost messages.
TEST_F(MembershipTest, FivePercentLoss_ForTenMinutes_KillsNobody)
{
    ASSERT_TRUE(simulation_.runUntilConverged(60s));
    for (int i = 0; i < 600; ++i) {
        simulation_.run(1s);
        ASSERT_TRUE(simulation_.converged()) << "second " << i;
    }
}

// Guards against a stop that other VMs notice only as a failure.
TEST_F(MembershipTest, MemberLeaves_OthersAreTold_WithoutSuspicionTime)
{
    ASSERT_TRUE(simulation_.runUntilConverged(60s));
    simulation_.member(5).leave();
    EXPECT_TRUE(simulation_.runUntilDetected(5, 6s));
    EXPECT_EQ(simulation_.member(9).find(VmId("vm-5"))->status, MemberStatus::Leaving);
}

// Guards against news that spread slower than members are replaced.
TEST_F(MembershipTest, MembersAreReplaced_AtTenTimesTheDesignRate_StayConverged)
{
    ASSERT_TRUE(simulation_.runUntilConverged(60s));
    const auto interval = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(SecondsPerDay / RestartsPerDay));
    for (std::size_t i = 0; i < 20; ++i) {
        simulation_.restart(7 + i);
        simulation_.run(interval / 10);
        ASSERT_TRUE(simulation_.runUntilConverged(20s));
    }
}

}
}
