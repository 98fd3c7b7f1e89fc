#pragma once

#include <cstddef>
#include <cstdint>

namespace Lentillock
{

struct DecisionTime {
    std::size_t candidates = 0;
    double choose = 0; ///< Microseconds per decision of ExpectedFirstTokenPolicy, mean of the best of 20 batches of 100.
    double withCandidates = 0; ///< The same together with FleetState::candidatesForModel().
};

/// Measures in real time the decision for prompts of @p promptTokens with a prefix that some endpoints hold.
DecisionTime measureDecisionTime(std::size_t candidates, std::uint64_t promptTokens);

}
