#include "gateway/gatewaysettings.h"

#include "base/settingsreader.h"

#include <fstream>
#include <sstream>

namespace Lentillock
{

namespace
{

constexpr std::int64_t MaxPort = 65535;

const std::vector<NumberSetting> NumberSettings{
    {"peerPort", "port", 7340, 1, MaxPort, "UDP port for load reports between VMs; the same on all VMs."},
    {"metricsPort", "port", 7350, 1, MaxPort, "TCP port for /metrics and /state."},
    {"callerMemoryMegabytes", "MiB", 64, 1, 65536, "Memory for requests and unread responses of all callers."},
    {"callerConnections", "connections", 2000, 16, 1000000, "Connections of callers that are open at the same time."},
};

const std::vector<DecimalSetting> DecimalSettings{
    {"drainGraceSeconds", "s", 8, 0.1, 3600, "Time from the stop signal until the process is killed."},
    {"repeatRatio", "sends per request", 0.2, 0, 1000, "Repeated sends to one service for each of its requests."},
    {"repeatSlack", "sends", 102, 0, 1e9, "Repeated sends to one service in one window, of all VMs, in addition to the ratio."},
    {"repeatWindowSeconds", "s", 10, 0.1, 3600, "Length of the window in which repeated sends are counted."},
    {"promptBlockSeconds", "s", 60, 0.1, 3600, "Time for which prompts that crash endpoints are blocked before one is tried."},
};

milliseconds fromSeconds(double seconds)
{
    return std::chrono::round<milliseconds>(std::chrono::duration<double>(seconds));
}

}

GatewaySettings GatewaySettings::read(const boost::json::value &value, const std::string &source, Findings &findings)
{
    SettingsReader reader(value, source, findings);
    GatewaySettings settings;
    settings.vm = VmId(reader.identifier("vm"));
    settings.zone = ZoneId(reader.identifier("zone"));
    settings.ip = reader.requiredString("ip");
    settings.callerAddress = reader.address("callerAddress");
    settings.readinessAddress = reader.address("readinessAddress");
    settings.storeAddress = reader.address("storeAddress");
    const auto numbers = reader.numbers(NumberSettings);
    settings.peerPort = static_cast<std::uint16_t>(numbers.at("peerPort"));
    settings.metricsPort = static_cast<std::uint16_t>(numbers.at("metricsPort"));
    settings.callerMemoryBytes = static_cast<std::size_t>(numbers.at("callerMemoryMegabytes")) * 1024 * 1024;
    settings.callerConnections = static_cast<std::size_t>(numbers.at("callerConnections"));
    const auto decimals = reader.decimals(DecimalSettings);
    settings.drainGrace = fromSeconds(decimals.at("drainGraceSeconds"));
    settings.retryBudget.ratio = decimals.at("repeatRatio");
    settings.retryBudget.slack = decimals.at("repeatSlack");
    settings.retryBudget.window = fromSeconds(decimals.at("repeatWindowSeconds"));
    settings.promptBlockTime = fromSeconds(decimals.at("promptBlockSeconds"));
    reader.finish();
    return settings;
}

GatewaySettings readGatewaySettings(const std::string &path, Findings &findings)
{
    std::ifstream file(path);
    if (!file) {
        findings.addError(path, "", "cannot be read");
        return {};
    }
    std::ostringstream text;
    text << file.rdbuf();
    const std::optional<boost::json::value> value = parseJson(text.str(), path, findings);
    return value ? GatewaySettings::read(*value, path, findings) : GatewaySettings();
}

std::string gatewaySettingsHelp()
{
    return "  vm, zone, ip, callerAddress, readinessAddress, storeAddress: required texts\n" + helpText(NumberSettings) + helpText(DecimalSettings);
}

}
