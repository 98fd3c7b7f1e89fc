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

/// What the requests of one dispatcher share.
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
    WorkspaceLimits workspaceLimits; ///< In equal shares until the VMs tell each other their demand.
    AbandonedReservations abandonedReservations;
    DispatchCounters counters;
    std::vector<DispatchAction> actions; ///< Collected for the caller of the dispatcher.
    bool placementPending = false; ///< Something has changed that may let a waiting request be placed.

    std::unordered_map<AttemptId, RequestId> attempts; ///< Live attempts and claims that are asked for.
    std::unordered_map<AllocationId, RequestId> allocations;
    std::set<RequestId> prefillingRequests; ///< Requests that want the answers to endpoint probes.
};

}
