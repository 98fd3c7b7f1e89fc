#include "control/controlsettings.h"

namespace Lentillock
{

const std::vector<NumberSetting> &controlNumberSettings()
{
    static const std::vector<NumberSetting> Settings{
        {"pollIntervalMs", "ms", 1000, 50, 10000, "time between two polls of an endpoint"},
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
    SettingsReader reader(*value, source, problems);
    ControlSettings settings;
    settings.vm = VmId(reader.identifier("vm"));
    settings.zone = ZoneId(reader.identifier("zone"));
    settings.grpc = reader.address("grpc");
    settings.gossip = reader.address("gossip");
    settings.operators = reader.address("operators");
    settings.seeds = reader.addresses("seeds");
    settings.log = reader.requiredUrl("log");
    settings.vmList = reader.url("vmList");
    auto numbers = reader.numbers(controlNumberSettings());
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
