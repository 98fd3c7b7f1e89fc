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

/// Credentials, limits and defaults of the callers of one customer.
struct Workspace {
    WorkspaceId id;
    std::vector<std::string> tokenHashes; ///< SHA-256 of each bearer token, 64 lower-case hexadecimal digits.
    std::string priorityClass;
    std::vector<ModelId> models; ///< Models that the workspace may use; plain services are listed by path prefix.
    double requestsPerSecond = 0; ///< Limit across all VMs; 0 means no limit.
    double tokensPerSecond = 0; ///< Limit on prompt and generated tokens across all VMs; 0 means no limit.
    milliseconds defaultTimeout{0};
    milliseconds maxTimeout{0};
    std::string sharingGroup; ///< Workspaces in the same group share cached prompt prefixes; empty disables sharing with other workspaces.

    auto operator<=>(const Workspace &) const = default;
};

struct PriorityClass {
    std::string id;
    std::int64_t level = 0; ///< Passed to the engines, which serve higher levels first.
    double weight = 1.0; ///< Relative share of the fleet under contention.

    auto operator<=>(const PriorityClass &) const = default;
};

/// Relative weights of the routing policy's optimization objectives.
struct Objectives {
    double longFirstToken = 1.0; ///< Time to first token of long prompts.
    double shortSlowdown = 1.0; ///< Slowdown of short requests.

    auto operator<=>(const Objectives &) const = default;
};

struct Model {
    ModelId id;
    std::string version;
    std::int64_t minEndpoints = 1;
    std::int64_t maxTokens = 0; ///< Maximum prompt length.

    auto operator<=>(const Model &) const = default;
};

struct AvailabilityZone {
    ZoneId id;
    std::string region;

    auto operator<=>(const AvailabilityZone &) const = default;
};

/// Network delay and relative traffic cost between two availability zones; applies to both directions.
struct ZoneLink {
    ZoneId from;
    ZoneId to;
    milliseconds delay{0}; ///< One-way delay.
    double cost = 0;

    auto operator<=>(const ZoneLink &) const = default;
};

enum class EndpointKind {
    Engine,
    Service,
};

struct Endpoint {
    EndpointId id;
    std::string address; ///< IP address and port.
    ZoneId zone;
    EndpointKind kind = EndpointKind::Engine;
    ModelId model; ///< Engines only.
    std::string pathPrefix; ///< Services only: requests below this path are routed to the endpoint.
    std::vector<std::string> nonRepeatablePaths; ///< Services only: requests below these paths are non-idempotent unless the caller declares otherwise.
    std::int64_t memoryTokens = 0; ///< Engines only: capacity of the KV cache in tokens.
    bool checksFencing = false; ///< Engines only: rejects an order with an outdated fencing token.
    bool authenticatesOrders = false; ///< Engines only: authenticates the sender of an order.

    auto operator<=>(const Endpoint &) const = default;
};

/// The validated serving document, merged from all sections.
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
