#include "bench/baselines.h"

#include "base/hash.h"

#include <algorithm>

namespace Lentillock
{

namespace
{

bool isExcluded(const RouteRequest &request, const FleetState::Candidate &candidate)
{
    return std::find(request.excluded.begin(), request.excluded.end(), candidate.endpoint->id) != request.excluded.end();
}

}

std::optional<RouteChoice>
RoundRobinPolicy::choose(TimePoint /*now*/, const RouteRequest &request, const std::vector<FleetState::Candidate> &candidates, std::uint64_t /*random*/) const
{
    for (std::size_t tried = 0; tried < candidates.size(); ++tried) {
        const FleetState::Candidate &candidate = candidates[next_++ % candidates.size()];
        if (!isExcluded(request, candidate)) {
            return RouteChoice{candidate.endpoint->id, Duration::zero(), Duration::zero()};
        }
    }
    return std::nullopt;
}

std::optional<RouteChoice>
PrefixAffinityPolicy::choose(TimePoint /*now*/, const RouteRequest &request, const std::vector<FleetState::Candidate> &candidates, std::uint64_t random) const
{
    const std::string key = std::to_string(request.prefixBlocks.empty() ? random : request.prefixBlocks.front());
    const FleetState::Candidate *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const FleetState::Candidate &candidate : candidates) {
        const std::uint64_t score = rendezvousScore(key, candidate.endpoint->id.value());
        if (!isExcluded(request, candidate) && (best == nullptr || score > bestScore)) {
            best = &candidate;
            bestScore = score;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return RouteChoice{best->endpoint->id, Duration::zero(), Duration::zero()};
}

}
