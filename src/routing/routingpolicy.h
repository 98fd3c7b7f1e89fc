#pragma once

#include "base/identifier.h"
#include "base/time.h"
#include "routing/fleetstate.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Lentillock
{

/// What a routing policy needs to know of a request.
struct RouteRequest {
    WorkspaceId workspace;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxTokens = 0;
    std::vector<std::uint64_t> prefixBlocks; ///< Salted hashes of the leading blocks, shortest prefix first.
    std::vector<EndpointId> excluded; ///< Endpoints that have failed for this request.
    ZoneId zone; ///< Availability zone of the entry.
    TimePoint deadline;
};

struct RouteChoice {
    EndpointId endpoint;
    Duration expectedFirstToken = Duration::zero();
    Duration expectedTotal = Duration::zero();
};

/// Picks an endpoint for a request.
class RoutingPolicy
{
public:
    RoutingPolicy() = default;
    RoutingPolicy(const RoutingPolicy &) = delete;
    RoutingPolicy &operator=(const RoutingPolicy &) = delete;
    virtual ~RoutingPolicy() = default;

    /// Returns nothing when no candidate can take the request. @p random breaks ties.
    [[nodiscard]] virtual std::optional<RouteChoice>
    choose(TimePoint now, const RouteRequest &request, const std::vector<FleetState::Candidate> &candidates, std::uint64_t random) const = 0;
};

/// Baseline: the endpoint with the fewest requests in flight from this entry.
class LeastOutstandingPolicy : public RoutingPolicy
{
public:
    [[nodiscard]] std::optional<RouteChoice>
    choose(TimePoint now, const RouteRequest &request, const std::vector<FleetState::Candidate> &candidates, std::uint64_t random) const override;
};

}
