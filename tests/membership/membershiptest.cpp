#include "membership/membershipsimulation.h"

#include <gtest/gtest.h>

namespace Lentillock
{
namespace
{

constexpr double SecondsPerDay = 86400;
/// Member restarts per day at the design size.
constexpr double RestartsPerDay = 1300;
/// Limit for all control traffic of a daemon.
constexpr double MaxBytesPerSecond = 7000;

class MembershipSizeTest : public testing::TestWithParam<std::size_t>
{
};

// Guards against members that never discover each other, and against traffic per member that grows with the number of members.
TEST_P(MembershipSizeTest, MembersStartTogether_WithLoss_ConvergeWithinBudget)
{
    MembershipSimulation simulation(GetParam(), 7, 0.05);
    ASSERT_TRUE(simulation.runUntilConverged(90s));
    simulation.run(30s);
    EXPECT_TRUE(simulation.converged());
    EXPECT_LE(simulation.takeTraffic().largestMessage, 1400U);
    simulation.run(30s);
    const auto traffic = simulation.takeTraffic();
    // Each message is sent by one member and received by another, so a member handles twice what it sends.
    EXPECT_LT(2.0 * static_cast<double>(traffic.bytes) / 30 / static_cast<double>(GetParam()), MaxBytesPerSecond);
}

INSTANTIATE_TEST_SUITE_P(Sizes, MembershipSizeTest, testing::Values(7, 50, 150));

class MembershipTest : public testing::Test
{
protected:
    MembershipSimulation simulation_{30, 11, 0.05};
};

// Guards against claims and reclaim duties that stay assigned to a dead VM.
TEST_F(MembershipTest, MemberDies_OthersNotice_Within15Seconds)
{
    ASSERT_TRUE(simulation_.runUntilConverged(60s));
    simulation_.kill(17);
    EXPECT_TRUE(simulation_.runUntilDetected(17, 15s));
}

// Guards against treating a restarted member as dead because of updates about its previous incarnation.
TEST_F(MembershipTest, MemberIsRestarted_WithNewIncarnation_IsLiveAgain)
{
    ASSERT_TRUE(simulation_.runUntilConverged(60s));
    simulation_.kill(17);
    ASSERT_TRUE(simulation_.runUntilDetected(17, 15s));
    simulation_.restart(17);
    EXPECT_TRUE(simulation_.runUntilConverged(20s));
}

// Guards against two partitions that stay separate after the network between zones has healed.
TEST_F(MembershipTest, NetworkIsPartitioned_PartitionHeals_MembersConverge)
{
    ASSERT_TRUE(simulation_.runUntilConverged(60s));
    simulation_.partition(10);
    simulation_.run(60s);
    EXPECT_EQ(simulation_.member(0).liveVms().size(), 10U);
    EXPECT_EQ(simulation_.member(20).liveVms().size(), 20U);
    simulation_.partition(0);
    EXPECT_TRUE(simulation_.runUntilConverged(60s));
}

// Guards against a process that declares all others dead when it resumes after a pause.
TEST_F(MembershipTest, MemberResumes_AfterPause_KeepsAllMembersLive)
{
    ASSERT_TRUE(simulation_.runUntilConverged(60s));
    // A short pause of another member, which is suspect when this member is paused.
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

// Guards against live members that are marked dead and live again because of lost messages.
TEST_F(MembershipTest, FivePercentLoss_ForTenMinutes_MarksNoMemberDead)
{
    ASSERT_TRUE(simulation_.runUntilConverged(60s));
    for (int i = 0; i < 600; ++i) {
        simulation_.run(1s);
        ASSERT_TRUE(simulation_.converged()) << "second " << i;
    }
}

// Guards against a planned stop that other VMs detect only through the suspicion timeout.
TEST_F(MembershipTest, MemberLeaves_OthersMarkItLeaving_WithoutSuspicionTimeout)
{
    ASSERT_TRUE(simulation_.runUntilConverged(60s));
    simulation_.member(5).leave();
    EXPECT_TRUE(simulation_.runUntilDetected(5, 6s));
    EXPECT_EQ(simulation_.member(9).find(VmId("vm-5"))->status, MemberStatus::Leaving);
}

// Guards against updates that propagate more slowly than members are replaced.
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
