#pragma once

#include "dispatch/dispatchersettings.h"
#include "dispatch/messages.h"
#include "routing/fleetstate.h"
#include "routing/routingpolicy.h"

#include <map>
#include <memory>
#include <vector>

namespace Lentillock
{

/// Requests of a dispatcher and what they share.
class DispatcherState
{
public:
    DispatcherState(DispatcherSettings settings, std::unique_ptr<RoutingPolicy> policy);

    struct Request {
        RequestSpecPtr spec;
        AttemptId attempt;
        std::uint64_t position = 0;
    };

    void handle(TimePoint now, const RequestArrived &message);
    void handle(TimePoint now, const AttemptChunk &message);
    void handle(TimePoint now, const AttemptEnded &message);
    void handle(TimePoint now, const AttemptFailed &message);
    void handle(TimePoint now, const ViewChanged &message);
    template<typename Other>
    void handle(TimePoint /*now*/, const Other & /*message*/)
    {
    }
    void expire(TimePoint now);
    void finish(const RequestId &id, FinishRequest action);
    Request *find(const AttemptId &attempt);

    DispatcherSettings settings_;
    std::unique_ptr<RoutingPolicy> policy_;
    FleetState fleet_;
    std::uint64_t nextAttempt_ = 1;
    std::map<RequestId, Request> requests_;
    std::map<AttemptId, RequestId> attempts_;
    std::vector<DispatchAction> actions_;
};

}
