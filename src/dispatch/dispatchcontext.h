#pragma once

#include "dispatch/abandonedreservations.h"
#include "dispatch/dispatchcounters.h"
#include "dispatch/dispatchersettings.h"
#include "dispatch/endpointchooser.h"
#include "dispatch/identifiergenerator.h"
#include "dispatch/messages.h"
#include "dispatch/retrybudget.h"
#include "routing/admissionqueue.h"
#include "routing/overloadcontrol.h"
#include "routing/workspacelimits.h"

#include <set>
#include <unordered_map>
#include <vector>

namespace Lentillock
{

/// State shared by all requests of one dispatcher.
struct DispatchContext {
    DispatchContext(DispatcherSettings dispatcherSettings, std::unique_ptr<RoutingPolicy> policy)
        : settings(std::move(dispatcherSettings))
        , chooser(settings, std::move(policy))
        , identifiers(settings.vm, settings.incarnation)
        , retryBudget(settings)
        , queue(settings.maxQueueLength)
        , workspaceLimits(settings.vm, 1, WorkspaceLimits::Sharing::Equal)
    {
    }

    DispatcherSettings settings;
    EndpointChooser chooser;
    IdentifierGenerator identifiers;
    RetryBudget retryBudget;
    AdmissionQueue queue;
    OverloadControl overloadControl;
    WorkspaceLimits workspaceLimits; ///< Divided equally among the VMs until they exchange their demand.
    AbandonedReservations abandonedReservations;
    DispatchCounters counters;
    std::vector<DispatchAction> actions; ///< Returned to the caller of the dispatcher.
    bool placementPending = false; ///< Set when a change may allow a queued request to be placed.

    std::unordered_map<AttemptId, RequestId> attempts; ///< Active attempts, and attempts whose claim is pending.
    std::unordered_map<AllocationId, RequestId> allocations;
    std::set<RequestId> prefillingRequests; ///< Requests that are prefilling a group and receive the results of endpoint probes.
};

}
