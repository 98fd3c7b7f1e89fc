#include "entry/entrysettings.h"

#include "base/jsonreader.h"

#include <arpa/inet.h>

#include <charconv>
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

std::string nameSetting(JsonReader &reader, std::string_view name)
{
    std::string value = reader.requiredString(name);
    if (value.empty() || value.find('/') != std::string::npos) {
        reader.addError(name, "must not be empty or contain a slash");
    }
    return value;
}

std::vector<std::string> controlsSetting(JsonReader &reader)
{
    std::vector<std::string> controls = reader.strings("controls");
    if (controls.empty()) {
        reader.addError("controls", "must name at least the own VM's control process");
    }
    for (std::size_t index = 0; index < controls.size(); ++index) {
        if (!isAddress(controls[index])) {
            reader.findings().addError(reader.source(), reader.pointerTo("controls") + '/' + std::to_string(index), "must be an address of the form IP:PORT");
        }
    }
    return controls;
}

}

const std::vector<EntryNumberSetting> &entryNumberSettings()
{
    constexpr std::int64_t mebibyte = 1024LL * 1024;
    static const std::vector<EntryNumberSetting> Settings{
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

const std::vector<EntryTextSetting> &entryTextSettings()
{
    static const std::vector<EntryTextSetting> Settings{
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
    JsonReader reader(*value, source, "", problems);
    EntrySettings settings;
    settings.vm = VmId(nameSetting(reader, "vm"));
    settings.zone = ZoneId(nameSetting(reader, "zone"));
    settings.callers.address = addressSetting(reader, "callers");
    settings.operators = addressSetting(reader, "operators");
    settings.grpc = addressSetting(reader, "grpc");
    settings.controls = controlsSetting(reader);
    settings.vmList = reader.string("vmList", "");
    if (!settings.vmList.empty() && !settings.vmList.starts_with(HttpScheme)) {
        reader.addError("vmList", "must be a URL that starts with http://");
    }
    std::map<std::string_view, std::int64_t> numbers;
    for (const EntryNumberSetting &setting : entryNumberSettings()) {
        numbers[setting.name] = reader.integer(setting.name, setting.defaultValue, setting.minimum, setting.maximum);
    }
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
