#pragma once

#include "base/time.h"
#include "config/servingdocument.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Lentillock
{

struct ConfigSectionState {
    std::string name;
    std::uint64_t version = 0;
    std::string text;

    auto operator<=>(const ConfigSectionState &) const = default;
};

/// The configuration in force in this process. Immutable once published.
struct ConfigState {
    std::uint64_t version = 0;
    TimePoint inForceSince; ///< Time at which this version came into force in this process.
    std::uint64_t throughOffset = 0; ///< Offset of the next log record to apply.
    std::uint32_t rulesVersion = 0;
    std::vector<ConfigSectionState> sections;
    ServingDocumentPtr document;
    std::string snapshot; ///< Snapshot record of the complete state, which starting peers can fetch.
    bool ready = false; ///< Set once the configuration is known and is at least as new as every version learned of until then.
    bool stopped = false; ///< A record with an unknown rules version was read; the last configuration stays in force.
};

using ConfigStatePtr = std::shared_ptr<const ConfigState>;

}
