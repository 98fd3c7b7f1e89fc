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

/// The configuration in force in this process. Never modified after it has been built.
struct ConfigState {
    std::uint64_t version = 0;
    TimePoint inForceSince; ///< When the version came into force in this process.
    std::uint64_t throughOffset = 0; ///< Next offset of the log that the fold reads.
    std::uint32_t rulesVersion = 0;
    std::vector<ConfigSectionState> sections;
    ServingDocumentPtr document;
    std::string snapshot; ///< Snapshot record of the complete state, for peers that start.
    bool ready = false; ///< The configuration is known and not older than any that was heard of when it became ready.
    bool stopped = false; ///< A record with unknown rules was read; the last configuration stays in force.
};

using ConfigStatePtr = std::shared_ptr<const ConfigState>;

}
