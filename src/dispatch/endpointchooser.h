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

/// Why a request is not placed now.
enum class NotPlaced {
    Wait, ///< No endpoint can take it at present.
    NoEndpoint, ///< No endpoint of the document serves it.
    PromptTooLong, ///< No zone has the memory, even if all of it were free.
};

/// Finds the endpoint or the group of endpoints for a request.
class EndpointChooser
{
public:
    using Placement = std::variant<RouteChoice, GroupPlan, NotPlaced>;
    using Candidates = std::vector<FleetState::Candidate>;

    EndpointChooser(const DispatcherSettings &settings, std::unique_ptr<RoutingPolicy> policy);

    void viewChanged(ServingViewPtr view);
    void viewConfirmed(TimePoint now);
    void endpointProbed(TimePoint now, const EndpointProbed &answer);

    /// The endpoint has refused a connection or has stopped answering.
    void endpointFailed(TimePoint now, const EndpointId &endpoint);
    void endpointLeaving(const EndpointId &endpoint);

    [[nodiscard]] bool isViewExpired(TimePoint now) const;

    /// What is to be placed.
    struct PlacementRequest {
        const RequestSpec &spec;
        const RouteRequest &route; ///< The same for the policy.
        const std::vector<EndpointId> &failed; ///< Endpoints that have failed for this request.
    };

    /// Probes that are needed first are added to @p actions.
    [[nodiscard]] Placement choose(TimePoint now, const PlacementRequest &request, std::vector<DispatchAction> &actions);

    [[nodiscard]] FleetState &fleet();
    [[nodiscard]] RoutingPolicy &policy();

private:
    [[nodiscard]] Candidates usableCandidates(const RequestSpec &spec) const;
    [[nodiscard]] NotPlaced noCandidatesReason(const RequestSpec &spec) const;
    [[nodiscard]] bool fitsInZone(const RequestSpec &spec) const;
    [[nodiscard]] Candidates readyCandidates(TimePoint now, Candidates candidates, std::size_t probes, std::vector<DispatchAction> &actions);
    [[nodiscard]] Candidates preferredCandidates(TimePoint now, Candidates candidates, const std::vector<EndpointId> &failed) const;
    [[nodiscard]] Placement chooseOne(TimePoint now, const PlacementRequest &request, const Candidates &candidates);
    [[nodiscard]] Placement chooseGroup(TimePoint now, const PlacementRequest &request, const Candidates &candidates) const;
    [[nodiscard]] std::uint64_t nextRandom();

    std::size_t maxConcurrentProbes_;
    Duration cooldown_;
    std::uint64_t randomState_;
    std::unique_ptr<RoutingPolicy> policy_; ///< For completions.
    LeastOutstandingPolicy servicePolicy_; ///< Services send no load reports and their calls have no tokens to predict from.
    FleetState fleet_;
    EndpointProbeGate probeGate_;
    LeavingEndpoints leavingEndpoints_;
    GroupPlanner planner_;
    std::map<EndpointId, TimePoint> cooldownUntil_;
};

}
