#pragma once

#include "base/identifier.h"
#include "base/time.h"
#include "config/servingdocument.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lentillock
{

enum class EndpointHealth {
    Live,
    Suspect,
    Leaving,
    Dead,
};

/// Load reported by an engine. May be older than the engine's actual state.
struct LoadReport {
    std::string generation; ///< Changes each time the engine process starts.
    bool draining = false;
    std::vector<ModelId> models;
    std::uint64_t totalTokens = 0;
    std::uint64_t freeTokens = 0;
    std::uint64_t queuedTokens = 0; ///< Prompt tokens waiting for prefill.
    std::uint64_t running = 0; ///< Requests in the running batch.
    TimePoint measuredAt; ///< Time of the engine's measurement, converted to this process's clock.

    bool operator==(const LoadReport &) const = default;
};

struct EndpointState {
    EndpointId id;
    EndpointHealth health = EndpointHealth::Live;
    std::optional<LoadReport> load;
    TimePoint observedAt; ///< Last successful contact.

    bool operator==(const EndpointState &) const = default;
};

struct MemberState {
    VmId id;
    ZoneId zone;
    std::string controlAddress; ///< gRPC address of the VM's control process.
    std::uint64_t configVersion = 0;
    bool ready = false;

    bool operator==(const MemberState &) const = default;
};

/// Configuration and fleet state as known to an entry process. Immutable once built.
struct ServingView {
    std::uint64_t configVersion = 0;
    ServingDocumentPtr document;
    std::map<EndpointId, EndpointState> endpoints;
    std::vector<MemberState> members;
    TimePoint receivedAt;
};

using ServingViewPtr = std::shared_ptr<const ServingView>;

}
