#include "claims/claimsimulation.h"

#include <gtest/gtest.h>

namespace Lentillock
{
namespace
{

class ClaimSimulationTest : public testing::Test
{
protected:
    static constexpr std::uint64_t Runs = 1000;
};

// Guards against dispatching a non-idempotent request twice under faults of writers, log and control processes.
TEST_F(ClaimSimulationTest, OneKeyThroughAllVms_WithFaults_IsDispatchedAtMostOnce)
{
    std::uint64_t dispatched = 0;
    int undecided = 0;
    for (std::uint64_t seed = 1; seed <= Runs; ++seed) {
        const ClaimSimulationResult result = ClaimSimulation(seed).run();
        ASSERT_LE(result.dispatches, 1) << "seed " << seed;
        ASSERT_EQ(result.falseWasNotRun, 0) << "seed " << seed;
        ASSERT_TRUE(result.replicasAgree) << "seed " << seed;
        dispatched += static_cast<std::uint64_t>(result.dispatches);
        undecided += result.undecided;
    }
    // A coordinator that never grants a claim would pass the checks above.
    EXPECT_GT(dispatched, Runs / 2);
    EXPECT_GT(undecided, 0);
    RecordProperty("dispatched", static_cast<int>(dispatched));
}

}
}
