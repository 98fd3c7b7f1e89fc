#pragma once

#include "base/findings.h"
#include "base/identifier.h"
#include "base/settingsreader.h"
#include "base/time.h"
#include "entry/callerserver.h"
#include "entry/httpsession.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lentillock
{

/// Settings of lentillock-entry. docs/manual/lentillock-entry.md describes each.
struct EntrySettings {
    VmId vm;
    ZoneId zone;
    std::string operators;
    std::string grpc;
    std::vector<std::string> controls;
    std::string vmList; ///< URL of the VM list; empty if the platform has none.
    CallerServerSettings callers;
    SessionLimits session;
    std::size_t maxBufferedBytes = 0;
    Duration maxViewAge{};
    milliseconds drainDelay{0};
};

const std::vector<NumberSetting> &entryNumberSettings();
const std::vector<TextSetting> &entryTextSettings();

/// Parses JSON settings. If they are invalid, adds the errors to @p findings and returns std::nullopt.
std::optional<EntrySettings> readEntrySettings(std::string_view text, const std::string &source, Findings &findings);

}
