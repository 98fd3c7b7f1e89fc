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

/// Properties of a request that routing policies use.
struct RouteRequest {
    WorkspaceId workspace;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxTokens = 0;
    std::vector<std::uint64_t> prefixBlocks; ///< Salted hashes of the leading blocks, shortest prefix first.
    std::vector<EndpointId> excluded; ///< Endpoints on which this request has failed.
    ZoneId zone; ///< Availability zone of the entry.
    TimePoint deadline;
    TimePoint arrival; ///< A policy may delay the request only for a fraction of the time from arrival to deadline.
    ModelId model;
};

struct RouteChoice {
    EndpointId endpoint;
    Duration expectedFirstToken = Duration::zero();
    Duration expectedTotal = Duration::zero();
};

/// Measurements of a finished attempt, for policies that learn from them.
struct AttemptObservation {
    EndpointId endpoint;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t generatedTokens = 0;
    std::uint64_t prefillTokensAhead = 0; ///< Prompt tokens of this entry that were awaiting prefill on the endpoint when the attempt started.
    Duration firstToken = Duration::zero(); ///< Since the start of the attempt.
    Duration total = Duration::zero(); ///< Since the start of the attempt.
};

/// Chooses an endpoint for each request.
class RoutingPolicy
{
public:
    RoutingPolicy() = default;
    RoutingPolicy(const RoutingPolicy &) = delete;
    RoutingPolicy &operator=(const RoutingPolicy &) = delete;
    virtual ~RoutingPolicy() = default;

    /// Returns nothing if no candidate can take the request now; the caller retries when the state of the fleet has changed.
    /// @p random breaks ties.
    [[nodiscard]] virtual std::optional<RouteChoice>
    choose(TimePoint now, const RouteRequest &request, const std::vector<FleetState::Candidate> &candidates, std::uint64_t random) const = 0;

    /// Called when a new serving document takes effect. Learnt estimates are kept.
    virtual void documentChanged(const ServingDocument &document);
    /// Called when a request arrives, possibly before an endpoint can take it.
    virtual void requestArrived(TimePoint now, const RouteRequest &request);
    /// Called when an attempt for @p request is started on @p endpoint.
    virtual void attemptStarted(TimePoint now, const RouteRequest &request, const EndpointId &endpoint);
    /// Called when an attempt has been answered completely.
    virtual void attemptFinished(TimePoint now, const AttemptObservation &observation);
    /// Called when the endpoint refuses a connection, breaks it or stops sending data.
    virtual void endpointFailed(TimePoint now, const EndpointId &endpoint);
};

/// Baseline policy that chooses the endpoint with the fewest requests in flight from this entry.
class LeastOutstandingPolicy : public RoutingPolicy
{
public:
    [[nodiscard]] std::optional<RouteChoice>
    choose(TimePoint now, const RouteRequest &request, const std::vector<FleetState::Candidate> &candidates, std::uint64_t random) const override;
};

}
