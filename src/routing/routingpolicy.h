#pragma once

#include "base/identifier.h"
#include "base/time.h"
#include "config/servingdocument.h"
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
    TimePoint arrival; ///< When the request came in; a policy may hold back a request only for a part of the time from here to the deadline.
    ModelId model;
};

struct RouteChoice {
    EndpointId endpoint;
    Duration expectedFirstToken = Duration::zero();
    Duration expectedTotal = Duration::zero();
};

/// How an attempt went, for policies that learn.
struct AttemptObservation {
    EndpointId endpoint;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t generatedTokens = 0;
    std::uint64_t prefillTokensAhead = 0; ///< Prompt tokens that this entry had waiting on the endpoint when the attempt began.
    Duration firstToken = Duration::zero(); ///< From the start of the attempt.
    Duration total = Duration::zero(); ///< From the start of the attempt.
};

/// Picks an endpoint for a request.
class RoutingPolicy
{
public:
    RoutingPolicy() = default;
    RoutingPolicy(const RoutingPolicy &) = delete;
    RoutingPolicy &operator=(const RoutingPolicy &) = delete;
    virtual ~RoutingPolicy() = default;

    /// Returns nothing when no candidate can take the request now; it is to be tried again when the fleet has changed. @p random breaks ties.
    [[nodiscard]] virtual std::optional<RouteChoice>
    choose(TimePoint now, const RouteRequest &request, const std::vector<FleetState::Candidate> &candidates, std::uint64_t random) const = 0;

    /// Another serving document is in force. What has been learnt stays.
    virtual void documentChanged(const ServingDocument &document);
    /// The request has come in and may have to wait.
    virtual void requestArrived(TimePoint now, const RouteRequest &request);
    /// An attempt for @p request has been started on @p endpoint.
    virtual void attemptStarted(TimePoint now, const RouteRequest &request, const EndpointId &endpoint);
    /// The answer is whole.
    virtual void attemptFinished(TimePoint now, const AttemptObservation &observation);
    /// The endpoint refused the connection, broke it or went silent.
    virtual void endpointFailed(TimePoint now, const EndpointId &endpoint);
};

/// Baseline: the endpoint with the fewest requests in flight from this entry.
class LeastOutstandingPolicy : public RoutingPolicy
{
public:
    [[nodiscard]] std::optional<RouteChoice>
    choose(TimePoint now, const RouteRequest &request, const std::vector<FleetState::Candidate> &candidates, std::uint64_t random) const override;
};

}
