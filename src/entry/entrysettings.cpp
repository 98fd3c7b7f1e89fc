#include "entry/entrysettings.h"

#include <map>

namespace Lentillock
{

namespace
{

std::vector<std::string> controlsSetting(SettingsReader &reader)
{
    std::vector<std::string> controls = reader.addresses("controls");
    if (controls.empty()) {
        reader.addError("controls", "must name at least the control process of this VM");
    }
    return controls;
}

}

const std::vector<NumberSetting> &entryNumberSettings()
{
    constexpr std::int64_t mebibyte = 1024LL * 1024;
    static const std::vector<NumberSetting> Settings{
        {"threads", "threads", 1, 1, 64, "threads that read callers' requests"},
        {"maxConnections", "connections", 4096, 1, 100000, "callers' connections; further ones are closed"},
        {"maxHeadBytes", "bytes", 16384, 1024, mebibyte, "request line and headers of a request"},
        {"maxBodyBytes", "bytes", 12 * mebibyte, 1024, 64 * mebibyte, "body of a request"},
        {"maxBufferedBytes", "bytes", 256 * mebibyte, mebibyte, 65536 * mebibyte, "all bodies and unsent answers together"},
        {"maxAnswerBytes", "bytes", 16 * mebibyte, 1024, 64 * mebibyte, "answer that is not streamed"},
        {"maxBacklogBytes", "bytes", mebibyte, 1024, 64 * mebibyte, "unsent bytes of a streamed answer before its caller is disconnected"},
        {"maxPipelinedBytes", "bytes", 65536, 1024, mebibyte, "bytes received while a request is being answered"},
        {"headTimeoutMs", "ms", 10000, 100, 600000, "time for the head of a request"},
        {"bodyTimeoutMs", "ms", 30000, 100, 3600000, "time for the body of a request"},
        {"idleTimeoutMs", "ms", 75000, 100, 3600000, "time between two requests of a connection"},
        {"stallTimeoutMs", "ms", 30000, 100, 3600000, "time without progress after which a slow reader is disconnected"},
        {"maxViewAgeMs", "ms", 600000, 1000, 86400000, "age of the last view above which new requests are refused"},
        {"drainDelayMs", "ms", 5000, 0, 600000, "time between the first SIGTERM and the refusal of new requests"},
    };
    return Settings;
}

const std::vector<TextSetting> &entryTextSettings()
{
    static const std::vector<TextSetting> Settings{
        {"vm", true, "identifier of this VM; no slash"},
        {"zone", true, "availability zone of this VM; no slash"},
        {"callers", true, "address of the callers' HTTP server, IP:PORT"},
        {"operators", true, "address of the operators' HTTP server, IP:PORT"},
        {"grpc", true, "address of the gRPC server for control processes, IP:PORT"},
        {"controls", true, "gRPC addresses of control processes, the own VM's first"},
        {"vmList", false, "URL of the platform's VM list"},
    };
    return Settings;
}

std::optional<EntrySettings> readEntrySettings(std::string_view text, const std::string &source, Findings &findings)
{
    const auto value = parseJson(text, source, findings);
    if (!value) {
        return std::nullopt;
    }
    Findings problems;
    SettingsReader reader(*value, source, problems);
    EntrySettings settings;
    settings.vm = VmId(reader.identifier("vm"));
    settings.zone = ZoneId(reader.identifier("zone"));
    settings.callers.address = reader.address("callers");
    settings.operators = reader.address("operators");
    settings.grpc = reader.address("grpc");
    settings.controls = controlsSetting(reader);
    settings.vmList = reader.url("vmList");
    auto numbers = reader.numbers(entryNumberSettings());
    const auto size = [&](std::string_view name) { return static_cast<std::size_t>(numbers[name]); };
    const auto time = [&](std::string_view name) { return milliseconds(numbers[name]); };
    settings.callers.threads = size("threads");
    settings.callers.maxConnections = size("maxConnections");
    settings.callers.maxBacklogBytes = size("maxBacklogBytes");
    settings.callers.stallTimeout = time("stallTimeoutMs");
    settings.session.http = {.maxHeadBytes = size("maxHeadBytes"), .maxBodyBytes = size("maxBodyBytes")};
    settings.session.maxAnswerBytes = size("maxAnswerBytes");
    settings.session.maxPipelinedBytes = size("maxPipelinedBytes");
    settings.session.headTimeout = time("headTimeoutMs");
    settings.session.bodyTimeout = time("bodyTimeoutMs");
    settings.session.idleTimeout = time("idleTimeoutMs");
    settings.maxBufferedBytes = size("maxBufferedBytes");
    settings.maxViewAge = time("maxViewAgeMs");
    settings.drainDelay = time("drainDelayMs");
    if (settings.maxBufferedBytes < settings.session.http.maxBodyBytes) {
        reader.addError("maxBufferedBytes", "must not be less than maxBodyBytes");
    }
    reader.finish();
    findings.append(problems);
    if (problems.hasErrors()) {
        return std::nullopt;
    }
    return settings;
}

}
