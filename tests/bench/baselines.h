#pragma once

#include "routing/routingpolicy.h"

namespace Lentillock
{

/// Baseline policy that chooses the candidates in turn.
class RoundRobinPolicy : public RoutingPolicy
{
public:
    [[nodiscard]] std::optional<RouteChoice>
    choose(TimePoint now, const RouteRequest &request, const std::vector<FleetState::Candidate> &candidates, std::uint64_t random) const override;

private:
    mutable std::size_t next_ = 0;
};

/// Baseline policy that routes requests with the same first prompt block to the same endpoint by rendezvous hashing.
class PrefixAffinityPolicy : public RoutingPolicy
{
public:
    [[nodiscard]] std::optional<RouteChoice>
    choose(TimePoint now, const RouteRequest &request, const std::vector<FleetState::Candidate> &candidates, std::uint64_t random) const override;
};

}
