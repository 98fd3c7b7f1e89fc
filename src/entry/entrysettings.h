#pragma once

#include "base/findings.h"
#include "base/identifier.h"
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
    std::string vmList; ///< Empty if the platform has none.
    CallerServerSettings callers;
    SessionLimits session;
    std::size_t maxBufferedBytes = 0;
    Duration maxViewAge{};
    milliseconds drainDelay{0};
};

/// A setting with a number, for the reader and for the help text.
struct EntryNumberSetting {
    const char *name;
    const char *unit;
    std::int64_t defaultValue;
    std::int64_t minimum;
    std::int64_t maximum;
    const char *description;
};

/// A setting with a text or a list of texts.
struct EntryTextSetting {
    const char *name;
    bool required;
    const char *description;
};

const std::vector<EntryNumberSetting> &entryNumberSettings();
const std::vector<EntryTextSetting> &entryTextSettings();

/// Reads JSON settings; returns nothing and adds findings if they are not valid.
std::optional<EntrySettings> readEntrySettings(std::string_view text, const std::string &source, Findings &findings);

}
