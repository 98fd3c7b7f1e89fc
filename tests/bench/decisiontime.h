#pragma once

#include <cstddef>
#include <cstdint>

namespace Lentillock
{

struct DecisionTime {
    std::size_t candidates = 0;
    double choose = 0; ///< Microseconds per decision of ExpectedFirstTokenPolicy, mean of the best of 20 batches of 100.
    double withCandidates = 0; ///< The same, including FleetState::candidatesForModel().
};

/// Measures the wall-clock time of a routing decision for a prompt of @p promptTokens whose prefix some endpoints have cached.
DecisionTime measureDecisionTime(std::size_t candidates, std::uint64_t promptTokens);

}
