#pragma once

#include "base/metrics.h"
#include "base/timerservice.h"
#include "gateway/callermemory.h"
#include "gateway/endpointconnectionpool.h"
#include "gateway/endpointdirectory.h"
#include "gateway/endpointhealth.h"
#include "gateway/fleetload.h"
#include "gateway/fleetretrybudget.h"
#include "gateway/gatewaysettings.h"
#include "gateway/promptpartguard.h"
#include "gateway/servingplan.h"
#include "gateway/viewfreshness.h"
#include "gateway/wireprotocol.h"

#include <boost/asio/io_context.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <optional>
#include <set>

namespace Lentillock
{

/// Ages of the plan and of the endpoint list at which a VM reads the store itself. The primary ages apply to the VM with rank 0; the backup ages
/// apply to the VM with rank 1 and, increased with the rank, to the others (see ViewFreshness). A new plan version and a draining endpoint must take effect
/// within two seconds. The VM with rank 0 always has a long poll for plans open at the store, so its plan is at most as old as one long poll.
inline constexpr Duration PlanPrimaryReadAge = 0ms;
inline constexpr Duration PlanBackupReadAge = 1300ms;
inline constexpr Duration EndpointPrimaryReadAge = 700ms;
inline constexpr Duration EndpointBackupReadAge = 1100ms;

/// Time for which a VM waits for the changes of the endpoint list that the first reader of its group has read.
inline constexpr Duration EndpointUpdateWait = 250ms;

/// Bytes that are read from a caller at once.
inline constexpr std::size_t CallerReadBytes = 16384;

/// State that the parts of a gateway share. All of them run on one thread.
struct GatewayContext {
    GatewayContext(boost::asio::io_context &ioContext, GatewaySettings gatewaySettings, const WireProtocol &wireProtocol)
        : io(ioContext)
        , settings(std::move(gatewaySettings))
        , wire(wireProtocol)
        , connectionPool(ioContext)
        , retryBudget(settings.retryBudget)
        , callerMemory(settings.callerMemoryBytes)
        , promptPartGuard(ioContext, metrics, connectionPool, settings.promptBlockTime)
    {
    }

    /// Number of VMs that share the limits of the fleet: this one and those whose load reports are in use.
    [[nodiscard]] std::size_t vmCount() const
    {
        return fleetLoad.peerCount() + 1;
    }

    /// Maximum number of idle connections to @p endpoint that this VM may keep.
    [[nodiscard]] std::size_t maxIdleConnections(const EndpointRecord &endpoint) const
    {
        const ServiceEntry *service = plan ? plan->service(endpoint.service) : nullptr;
        return idleConnectionLimit(service != nullptr ? service->maxConnections : 0, vmCount());
    }

    boost::asio::io_context &io;
    GatewaySettings settings;
    const WireProtocol &wire;
    TimerService timers;
    Metrics metrics;
    ServingPlanPointer plan; ///< Null until the first version has been loaded.
    EndpointDirectory directory;
    EndpointConnectionPool connectionPool;
    ViewFreshness planFreshness{PlanPrimaryReadAge, PlanBackupReadAge, Duration::zero()};
    ViewFreshness endpointFreshness{EndpointPrimaryReadAge, EndpointBackupReadAge, EndpointUpdateWait};
    StorePosition endpointPosition{}; ///< Up to which the endpoint list has been read.
    ReaderRank readerRank;
    FleetLoad fleetLoad;
    EndpointHealth health;
    FleetRetryBudget retryBudget;
    CallerMemory callerMemory;
    PromptPartGuard promptPartGuard;
    std::array<char, CallerReadBytes> callerReadBuffer{}; ///< One for all connections, because each empties it before the next one reads.
    std::set<EndpointId> loggedRetryDelays; ///< Endpoints whose Retry-After was not valid, each of which is logged once.
    std::function<void(const EndpointRecord &)> announceLeaving = [](const EndpointRecord &) {}; ///< Tells other VMs that an endpoint leaves.
    std::optional<TimePoint> drainingSince; ///< Time of the stop signal.
};

}
