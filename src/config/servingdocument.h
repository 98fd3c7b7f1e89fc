#pragma once

#include "base/identifier.h"
#include "base/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Lentillock
{

/// Callers of one customer: their tokens, limits and defaults.
struct Workspace {
    WorkspaceId id;
    std::vector<std::string> tokenHashes; ///< SHA-256 of each bearer token, 64 lower-case hexadecimal digits.
    std::string priorityClass;
    std::vector<ModelId> models; ///< Models that the workspace may use; plain services are named by their path prefix.
    double requestsPerSecond = 0; ///< Limit over all VMs; 0 means no limit.
    double tokensPerSecond = 0; ///< Limit on prompt and generated tokens over all VMs; 0 means no limit.
    milliseconds defaultTimeout{0};
    milliseconds maxTimeout{0};
    std::string sharingGroup; ///< Workspaces of one group share prompt prefixes; empty means none are shared.

    auto operator<=>(const Workspace &) const = default;
};

struct PriorityClass {
    std::string id;
    std::int64_t level = 0; ///< Passed to the engines; a higher level is served first.
    double weight = 1.0; ///< Share of the fleet relative to other classes under contention.

    auto operator<=>(const PriorityClass &) const = default;
};

/// Relative weights of what the routing policy optimises.
struct Objectives {
    double longFirstToken = 1.0; ///< Time to first token of long prompts.
    double shortSlowdown = 1.0; ///< Slowdown of short requests.

    auto operator<=>(const Objectives &) const = default;
};

struct Model {
    ModelId id;
    std::string version;
    std::int64_t minEndpoints = 1;
    std::int64_t maxTokens = 0; ///< Longest prompt that is admitted.

    auto operator<=>(const Model &) const = default;
};

struct AvailabilityZone {
    ZoneId id;
    std::string region;

    auto operator<=>(const AvailabilityZone &) const = default;
};

/// Delay and relative cost of traffic between two availability zones, in either direction.
struct ZoneLink {
    ZoneId from;
    ZoneId to;
    milliseconds delay{0}; ///< One way.
    double cost = 0;

    auto operator<=>(const ZoneLink &) const = default;
};

enum class EndpointKind {
    Engine,
    Service,
};

struct Endpoint {
    EndpointId id;
    std::string address; ///< IP number and port.
    ZoneId zone;
    EndpointKind kind = EndpointKind::Engine;
    ModelId model; ///< Engines only.
    std::string pathPrefix; ///< Services only: requests below this path are routed to the endpoint.
    std::vector<std::string> nonRepeatablePaths; ///< Services only: calls below these paths are non-idempotent unless the caller says otherwise.
    std::int64_t memoryTokens = 0; ///< Engines only: tokens of KV cache that fit.
    bool checksFencing = false; ///< Refuses an order with an old fencing number.
    bool authenticatesOrders = false; ///< Checks who gives it an order.

    auto operator<=>(const Endpoint &) const = default;
};

/// The validated serving document: what all sections together say.
struct ServingDocument {
    std::vector<Workspace> workspaces;
    std::vector<PriorityClass> priorityClasses;
    Objectives objectives;
    std::vector<Model> models;
    std::vector<AvailabilityZone> zones;
    std::vector<ZoneLink> links;
    std::vector<Endpoint> endpoints;

    bool operator==(const ServingDocument &) const = default;
};

using ServingDocumentPtr = std::shared_ptr<const ServingDocument>;

}
