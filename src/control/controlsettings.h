#pragma once

#include "base/findings.h"
#include "base/identifier.h"
#include "base/settingsreader.h"
#include "base/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lentillock
{

/// Settings of lentillock-control, documented in docs/manual/lentillock-control.md.
struct ControlSettings {
    VmId vm;
    ZoneId zone;
    std::string grpc;
    std::string gossip;
    std::string operators;
    std::vector<std::string> seeds;
    std::string log;
    std::string vmList; ///< Empty if the platform has no VM list.
    milliseconds pollInterval{0};
    milliseconds pollTimeout{0};
    milliseconds vmListInterval{0};
    std::int64_t claimShards = 0;
    milliseconds drainDelay{0};
    milliseconds logRetention{0};
    std::int64_t logRetentionRecords = 0;

    bool operator==(const ControlSettings &) const = default;
};

const std::vector<NumberSetting> &controlNumberSettings();
const std::vector<TextSetting> &controlTextSettings();

/// Parses settings in JSON. If they are invalid, returns nothing and adds errors to @p findings.
std::optional<ControlSettings> readControlSettings(std::string_view text, const std::string &source, Findings &findings);

}
