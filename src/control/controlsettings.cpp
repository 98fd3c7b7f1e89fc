#include "control/controlsettings.h"

#include "base/jsonreader.h"

#include <arpa/inet.h>

#include <charconv>
#include <cstdint>
#include <map>

namespace Lentillock
{

namespace
{

constexpr std::string_view HttpScheme = "http://";

bool isAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    in_addr parsed{};
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, port);
    return error == std::errc() && stop == end && inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &parsed) == 1;
}

std::string addressSetting(JsonReader &reader, std::string_view name)
{
    std::string address = reader.requiredString(name);
    if (!address.empty() && !isAddress(address)) {
        reader.addError(name, "must be an address of the form IP:PORT");
    }
    return address;
}

std::string urlSetting(JsonReader &reader, std::string_view name, bool required)
{
    std::string url = required ? reader.requiredString(name) : reader.string(name, "");
    if (!url.empty() && !url.starts_with(HttpScheme)) {
        reader.addError(name, "must be a URL that starts with http://");
    }
    return url;
}

std::vector<std::string> seedsSetting(JsonReader &reader)
{
    std::vector<std::string> seeds = reader.strings("seeds");
    for (std::size_t i = 0; i < seeds.size(); ++i) {
        if (!isAddress(seeds[i])) {
            reader.findings().addError(reader.source(), reader.pointerTo("seeds") + '/' + std::to_string(i), "must be an address of the form IP:PORT");
        }
    }
    return seeds;
}

std::map<std::string_view, std::int64_t> numberSettings(JsonReader &reader)
{
    std::map<std::string_view, std::int64_t> values;
    for (const NumberSetting &setting : controlNumberSettings()) {
        values[setting.name] = reader.integer(setting.name, setting.defaultValue, setting.minimum, setting.maximum);
    }
    return values;
}

void requireText(JsonReader &reader, std::string_view name, const std::string &value)
{
    if (value.empty() || value.find('/') != std::string::npos) {
        reader.addError(name, "must not be empty or contain a slash");
    }
}

}

const std::vector<NumberSetting> &controlNumberSettings()
{
    static const std::vector<NumberSetting> Settings{
        {"pollIntervalMs", "ms", 500, 50, 10000, "time between two polls of an endpoint"},
        {"pollTimeoutMs", "ms", 1000, 50, 10000, "time after which a poll counts as missed"},
        {"vmListIntervalMs", "ms", 1000, 100, 60000, "time between two reads of the VM list"},
        {"claimShards", "shards", 16, 1, 100, "number of claim streams; must be equal on all VMs and never change while keys are remembered"},
        {"drainDelayMs", "ms", 1000, 0, 60000, "time between the announcement of leaving and the end of the process"},
        {"logRetentionMs", "ms", 86400000, 7200000, 31536000000, "how long the log keeps a record; at least the key window and the longest request"},
        {"logRetentionRecords", "records", 1000000, 1000, 1000000000, "how many records of a stream the log keeps"},
    };
    return Settings;
}

const std::vector<TextSetting> &controlTextSettings()
{
    static const std::vector<TextSetting> Settings{
        {"vm", true, "identifier of this VM; no slash"},
        {"zone", true, "availability zone of this VM; no slash"},
        {"grpc", true, "address of the gRPC server, IP:PORT"},
        {"gossip", true, "UDP address for gossip between control processes, IP:PORT"},
        {"operators", true, "address of the operators' HTTP server, IP:PORT"},
        {"seeds", false, "gossip addresses of other control processes"},
        {"log", true, "URL of the platform's log service"},
        {"vmList", false, "URL of the platform's VM list"},
    };
    return Settings;
}

std::optional<ControlSettings> readControlSettings(std::string_view text, const std::string &source, Findings &findings)
{
    const auto value = parseJson(text, source, findings);
    if (!value) {
        return std::nullopt;
    }
    Findings problems;
    JsonReader reader(*value, source, "", problems);
    ControlSettings settings;
    settings.vm = VmId(reader.requiredString("vm"));
    requireText(reader, "vm", settings.vm.value());
    settings.zone = ZoneId(reader.requiredString("zone"));
    requireText(reader, "zone", settings.zone.value());
    settings.grpc = addressSetting(reader, "grpc");
    settings.gossip = addressSetting(reader, "gossip");
    settings.operators = addressSetting(reader, "operators");
    settings.seeds = seedsSetting(reader);
    settings.log = urlSetting(reader, "log", true);
    settings.vmList = urlSetting(reader, "vmList", false);
    auto numbers = numberSettings(reader);
    settings.pollInterval = milliseconds(numbers["pollIntervalMs"]);
    settings.pollTimeout = milliseconds(numbers["pollTimeoutMs"]);
    settings.vmListInterval = milliseconds(numbers["vmListIntervalMs"]);
    settings.claimShards = numbers["claimShards"];
    settings.drainDelay = milliseconds(numbers["drainDelayMs"]);
    settings.logRetention = milliseconds(numbers["logRetentionMs"]);
    settings.logRetentionRecords = numbers["logRetentionRecords"];
    reader.finish();
    findings.append(problems);
    if (problems.hasErrors()) {
        return std::nullopt;
    }
    return settings;
}

}
