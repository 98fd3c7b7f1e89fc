#pragma once

#include "base/findings.h"
#include "base/identifier.h"
#include "base/time.h"
#include "gateway/fleetretrybudget.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <string>

namespace Lentillock
{

/// Settings of one gateway process.
struct GatewaySettings {
    VmId vm;
    ZoneId zone;
    std::string ip;
    std::string callerAddress; ///< Where callers connect.
    std::string readinessAddress; ///< Where the load balancer asks whether this VM is ready.
    std::uint16_t peerPort = 0; ///< UDP, for load reports between VMs; the same on all VMs.
    std::uint16_t metricsPort = 0; ///< Metrics and the state dump.
    std::string storeAddress;
    milliseconds drainGrace{8000}; ///< From the stop signal until the process is killed.
    FleetRetryBudgetSettings repeats;

    /// Problems are added to @p findings with their place.
    static GatewaySettings read(const boost::json::value &value, const std::string &source, Findings &findings);
};

/// Reads and checks a file of settings.
GatewaySettings readGatewaySettings(const std::string &path, Findings &findings);

/// Help text on all settings.
std::string gatewaySettingsHelp();

}
