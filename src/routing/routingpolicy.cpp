#include "routing/routingpolicy.h"

#include <algorithm>

namespace Lentillock
{

void RoutingPolicy::documentChanged(const ServingDocument & /*document*/)
{
}

void RoutingPolicy::requestArrived(TimePoint /*now*/, const RouteRequest & /*request*/)
{
}

void RoutingPolicy::attemptStarted(TimePoint /*now*/, const RouteRequest & /*request*/, const EndpointId & /*endpoint*/)
{
}

void RoutingPolicy::attemptFinished(TimePoint /*now*/, const AttemptObservation & /*observation*/)
{
}

void RoutingPolicy::endpointFailed(TimePoint /*now*/, const EndpointId & /*endpoint*/)
{
}

std::optional<RouteChoice>
LeastOutstandingPolicy::choose(TimePoint /*now*/, const RouteRequest &request, const std::vector<FleetState::Candidate> &candidates, std::uint64_t random) const
{
    std::vector<const FleetState::Candidate *> best;
    for (const FleetState::Candidate &candidate : candidates) {
        if (std::find(request.excluded.begin(), request.excluded.end(), candidate.endpoint->id) != request.excluded.end()) {
            continue;
        }
        if (!best.empty() && candidate.inFlight.requests > best.front()->inFlight.requests) {
            continue;
        }
        if (!best.empty() && candidate.inFlight.requests < best.front()->inFlight.requests) {
            best.clear();
        }
        best.push_back(&candidate);
    }
    if (best.empty()) {
        return std::nullopt;
    }
    return RouteChoice{best[random % best.size()]->endpoint->id, Duration::zero(), Duration::zero()};
}

}
