#include "dispatch/adversary.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <random>

namespace Lentillock
{
namespace
{

constexpr std::uint32_t MaxSteps = 300;
constexpr std::uint32_t RunsPerCase = 5;

/// Runs @p steps random steps. Shrinking finds the shortest prefix that fails.
std::vector<std::string> problemsOf(std::uint32_t seed, std::uint32_t steps)
{
    std::mt19937 random(seed);
    Adversary adversary;
    for (std::uint32_t step = 0; step < steps; ++step) {
        adversary.step(random());
    }
    return adversary.finish();
}

// Guards against a request that ends twice, late or never, runs twice or under no claim, gets a wrong text, leaves memory or a
// claim behind, or is reported as not run although an endpoint may have run it.
TEST(DispatcherProperty, AnyInterleavingOfMessages_KeepsAllPromises)
{
    const bool holds = rc::check([] {
        const auto seed = *rc::gen::noShrink(rc::gen::inRange<std::uint32_t>(0, 1U << 30U));
        const auto steps = *rc::gen::inRange<std::uint32_t>(1, MaxSteps);
        for (std::uint32_t run = 0; run < RunsPerCase; ++run) {
            const std::vector<std::string> problems = problemsOf(seed + run, steps);
            if (!problems.empty()) {
                RC_FAIL(problems.front());
            }
        }
    });
    EXPECT_TRUE(holds);
}

}
}
