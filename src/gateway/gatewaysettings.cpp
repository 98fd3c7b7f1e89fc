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
    {"drainGrace", "ms", 8000, 1000, 600000, "Time from the stop signal until the process is killed."},
    {"repeatSlack", "sends", 102, 0, 1000000, "Repeated sends to one service in one window, of all VMs, beside the ratio."},
    {"repeatWindow", "ms", 10000, 1000, 600000, "Length of the window in which repeated sends are counted."},
};

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
    settings.retryBudget.ratio = reader.number("repeatRatio", settings.retryBudget.ratio, 0, 10);
    const auto numbers = reader.numbers(NumberSettings);
    settings.peerPort = static_cast<std::uint16_t>(numbers.at("peerPort"));
    settings.metricsPort = static_cast<std::uint16_t>(numbers.at("metricsPort"));
    settings.drainGrace = milliseconds(numbers.at("drainGrace"));
    settings.retryBudget.slack = static_cast<double>(numbers.at("repeatSlack"));
    settings.retryBudget.window = milliseconds(numbers.at("repeatWindow"));
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
    return "  vm, zone, ip, callerAddress, readinessAddress, storeAddress: required texts\n"
           "  repeatRatio (sends per request, default 0.2, 0 to 10): Repeated sends to one service for each of its requests.\n"
        + helpText(NumberSettings);
}

}
