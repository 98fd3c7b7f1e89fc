#include "dispatch/dispatchersimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <random>

namespace Lentillock
{
namespace
{

constexpr std::uint32_t MaxSteps = 300;
constexpr std::uint32_t RunsPerCase = 5;

/// Runs @p steps random steps and returns the violations. RapidCheck shrinks to the shortest prefix that fails.
std::vector<std::string> findViolations(std::uint32_t seed, std::uint32_t steps)
{
    std::mt19937 random(seed);
    DispatcherSimulation simulation;
    for (std::uint32_t step = 0; step < steps; ++step) {
        simulation.step(random());
    }
    return simulation.finish();
}

// Guards against a request that finishes twice, late or never, runs twice or without a claim, receives incorrect text, leaks memory
// or a claim, or is reported as not run although an endpoint may have run it.
TEST(DispatcherProperty, AnyInterleavingOfMessages_MaintainsInvariants)
{
    const bool passed = rc::check([] {
        const auto seed = *rc::gen::noShrink(rc::gen::inRange<std::uint32_t>(0, 1U << 30U));
        const auto steps = *rc::gen::inRange<std::uint32_t>(1, MaxSteps);
        for (std::uint32_t run = 0; run < RunsPerCase; ++run) {
            const std::vector<std::string> violations = findViolations(seed + run, steps);
            if (!violations.empty()) {
                RC_FAIL(violations.front());
            }
        }
    });
    EXPECT_TRUE(passed);
}

}
}
