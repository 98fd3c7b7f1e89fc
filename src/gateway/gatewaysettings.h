#pragma once

#include "base/findings.h"
#include "base/identifier.h"
#include "base/time.h"
#include "gateway/fleetretrybudget.h"

#include <boost/json/value.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace Lentillock
{

/// Settings of one gateway process.
struct GatewaySettings {
    VmId vm;
    ZoneId zone;
    std::string ip;
    std::string callerAddress; ///< Listening address for callers.
    std::string readinessAddress; ///< Listening address for the readiness checks of the load balancer.
    std::uint16_t peerPort = 0; ///< UDP port for load reports between VMs; the same on all VMs.
    std::uint16_t metricsPort = 0; ///< TCP port for metrics and the state dump.
    std::string storeAddress;
    std::size_t callerMemoryBytes = 64ULL * 1024 * 1024; ///< For requests and unread responses of all callers, and responses being received.
    std::size_t callerConnections = 2000; ///< Connections of callers that are open at the same time.
    milliseconds drainGrace{8000}; ///< Time from the stop signal until the process is killed.
    FleetRetryBudgetSettings retryBudget;
    milliseconds promptBlockTime{60000}; ///< Time for which prompt parts that crash endpoints are blocked before a request is tried.

    /// Reads the settings from @p value. Problems are added to @p findings with their location.
    static GatewaySettings read(const boost::json::value &value, const std::string &source, Findings &findings);
};

/// Reads and validates a settings file.
GatewaySettings readGatewaySettings(const std::string &path, Findings &findings);

/// Returns the help text for all settings.
std::string gatewaySettingsHelp();

}
