#pragma once

#include "base/metrics.h"
#include "base/timerservice.h"
#include "gateway/endpointchannels.h"
#include "gateway/endpointdirectory.h"
#include "gateway/endpointhealth.h"
#include "gateway/fleetload.h"
#include "gateway/gatewaysettings.h"
#include "gateway/repeatbudget.h"
#include "gateway/servingplan.h"
#include "gateway/wireprotocol.h"

#include <boost/asio/io_context.hpp>

namespace Lentillock
{

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

    boost::asio::io_context &io;
    GatewaySettings settings;
    const WireProtocol &wire;
    TimerService timers;
    Metrics metrics;
    ServingPlanPointer plan; ///< Null until a version is known.
    EndpointDirectory directory;
    EndpointChannels channels;
    FleetLoad load;
    EndpointHealth health;
    RepeatBudget repeats;
    bool draining = false;
};

}
