#pragma once

#include "base/metrics.h"
#include "base/timerservice.h"
#include "gateway/endpointchannels.h"
#include "gateway/endpointdirectory.h"
#include "gateway/endpointhealth.h"
#include "gateway/fleetload.h"
#include "gateway/fleetretrybudget.h"
#include "gateway/gatewaysettings.h"
#include "gateway/servingplan.h"
#include "gateway/viewfreshness.h"
#include "gateway/wireprotocol.h"

#include <boost/asio/io_context.hpp>

#include <optional>

namespace Lentillock
{

/// Ages at which VMs read the store for themselves. A version must be in force within two seconds, a leave notice as well. The first
/// reader always waits at the store for a new version, so its knowledge is as old as one held read.
inline constexpr Duration PlanReaderAge = 0ms;
inline constexpr Duration PlanOthersAge = 1300ms;
inline constexpr Duration EndpointReaderAge = 700ms;
inline constexpr Duration EndpointOthersAge = 1100ms;

/// What the tasks of a gateway share. All of them run on one thread.
struct GatewayContext {
    GatewayContext(boost::asio::io_context &ioContext, GatewaySettings gatewaySettings, const WireProtocol &wireProtocol)
        : io(ioContext)
        , settings(std::move(gatewaySettings))
        , wire(wireProtocol)
        , channels(ioContext)
        , repeats(settings.repeats)
    {
    }

    /// VMs that share the budgets of the fleet: this one and those whose reports arrive.
    [[nodiscard]] std::size_t vmCount() const
    {
        return load.peerCount() + 1;
    }

    /// Idle channels to @p endpoint that this VM may keep.
    [[nodiscard]] std::size_t idleChannels(const EndpointRecord &endpoint) const
    {
        const ServiceEntry *service = plan ? plan->service(endpoint.service) : nullptr;
        return idleChannelLimit(service != nullptr ? service->maxConnections : 0, vmCount());
    }

    boost::asio::io_context &io;
    GatewaySettings settings;
    const WireProtocol &wire;
    TimerService timers;
    Metrics metrics;
    ServingPlanPointer plan; ///< Null until a version is known.
    EndpointDirectory directory;
    EndpointChannels channels;
    ViewFreshness planFreshness{PlanReaderAge, PlanOthersAge};
    ViewFreshness endpointFreshness{EndpointReaderAge, EndpointOthersAge};
    std::uint32_t endpointOffset = 0; ///< Position in the list of endpoints up to which it has been read.
    std::size_t readerRank = 0; ///< Place of this VM among those that read the store in turn.
    FleetLoad load;
    EndpointHealth health;
    FleetRetryBudget repeats;
    std::optional<TimePoint> drainingSince; ///< When the stop signal came.
};

}
