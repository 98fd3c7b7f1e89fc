#pragma once

#include "dispatch/dispatchersettings.h"
#include "dispatch/endpointprobegate.h"
#include "dispatch/groupplanner.h"
#include "dispatch/leavingendpoints.h"
#include "dispatch/messages.h"
#include "routing/fleetstate.h"
#include "routing/routingpolicy.h"

#include <cstdint>
#include <map>
#include <memory>
#include <variant>
#include <vector>

namespace Lentillock
{

/// Why a request could not be placed.
enum class NotPlaced {
    Wait, ///< No endpoint can take the request at present.
    NoEndpoint, ///< No endpoint in the serving document serves the request.
    PromptTooLong, ///< The request exceeds the total memory of every zone.
};

/// Selects an endpoint or a group of endpoints for a request.
class EndpointChooser
{
public:
    using Placement = std::variant<RouteChoice, GroupPlan, NotPlaced>;
    using Candidates = std::vector<FleetState::Candidate>;

    EndpointChooser(const DispatcherSettings &settings, std::unique_ptr<RoutingPolicy> policy);

    void viewChanged(ServingViewPtr view);
    void viewConfirmed(TimePoint now);
    void endpointProbed(TimePoint now, const EndpointProbed &answer);

    /// The endpoint refused a connection or stopped responding.
    void endpointFailed(TimePoint now, const EndpointId &endpoint);
    void endpointLeaving(const EndpointId &endpoint);

    [[nodiscard]] bool isViewExpired(TimePoint now) const;

    struct PlacementRequest {
        const RequestSpec &spec;
        const RouteRequest &route; ///< The same request in the form that the routing policy takes.
        const std::vector<EndpointId> &failedEndpoints; ///< Endpoints that failed for this request.
    };

    /// Appends to @p actions the endpoint probes that are needed before the request can be placed.
    [[nodiscard]] Placement choose(TimePoint now, const PlacementRequest &request, std::vector<DispatchAction> &actions);

    [[nodiscard]] FleetState &fleet();
    [[nodiscard]] RoutingPolicy &policy();

private:
    [[nodiscard]] Candidates usableCandidates(const RequestSpec &spec) const;
    [[nodiscard]] NotPlaced noCandidatesReason(const RequestSpec &spec) const;
    [[nodiscard]] bool fitsInZone(const RequestSpec &spec) const;
    [[nodiscard]] Candidates readyCandidates(TimePoint now, Candidates candidates, std::size_t probes, std::vector<DispatchAction> &actions);
    [[nodiscard]] Candidates preferredCandidates(TimePoint now, Candidates candidates, const std::vector<EndpointId> &failedEndpoints) const;
    [[nodiscard]] Placement chooseOne(TimePoint now, const PlacementRequest &request, const Candidates &candidates);
    [[nodiscard]] Placement chooseGroup(TimePoint now, const PlacementRequest &request, const Candidates &candidates) const;
    [[nodiscard]] std::uint64_t nextRandom();

    std::size_t maxConcurrentProbes_;
    Duration cooldown_;
    std::uint64_t randomState_;
    std::unique_ptr<RoutingPolicy> policy_; ///< For completions.
    LeastOutstandingPolicy servicePolicy_; ///< Services send no load reports, and their calls have no token counts to predict from.
    FleetState fleet_;
    EndpointProbeGate probeGate_;
    LeavingEndpoints leavingEndpoints_;
    GroupPlanner planner_;
    std::map<EndpointId, TimePoint> cooldownUntil_;
};

}
