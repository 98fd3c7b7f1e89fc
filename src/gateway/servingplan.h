#pragma once

#include "base/identifier.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Lentillock
{

/// How often a request may run.
enum class ExecutionSemantics {
    Idempotent, ///< Any number of times.
    AtMostOnce,
};

/// A service and its weight among the services of a route.
struct ServiceShare {
    std::string service;
    double weight = 1;

    auto operator<=>(const ServiceShare &) const = default;
};

/// Route for the requests to one host and path prefix.
struct RouteEntry {
    std::string name;
    std::string host;
    std::string pathPrefix;
    ExecutionSemantics executionSemantics = ExecutionSemantics::AtMostOnce;
    bool isStream = false;
    bool isResumable = false;
    bool isPublic = false; ///< Needs no API key.
    bool isGeneration = false; ///< Served by model engines; requests contain their token counts.
    milliseconds timeout{0}; ///< Until the response is complete.
    milliseconds latencyObjective{0}; ///< For streams: until the first event.
    milliseconds pauseObjective{0}; ///< Longest pause between the events of a stream.
    int maxRuns = 1; ///< Maximum number of endpoints on which one request may run; max_attempts in the serving document.
    std::vector<ServiceShare> services;

    auto operator<=>(const RouteEntry &) const = default;
};

/// Performance model of a model engine, from the published figures of the engine.
struct EngineModel {
    int slots = 1; ///< Maximum batch size, in requests.
    double memoryTokens = 0; ///< KV cache capacity.
    double stepMs = 0; ///< Time of one decode step.
    double stepMsPerRequest = 0; ///< Added to each step for each decoding request.
    double stepMsPerThousandContext = 0; ///< Added to each step for each 1,000 tokens of context.
    double prefillTokensPerMs = 1;
    double attentionMsPerMillionPairs = 0; ///< Attention cost of a prefill, per million pairs of a token and an earlier one.
    int stepsPerIteration = 1; ///< Decode steps of one engine iteration; one event of a stream contains as many tokens.
    double meanOutputTokens = 0; ///< Mean length of the output of a request.

    auto operator<=>(const EngineModel &) const = default;

    /// Prefill time of a prompt of @p tokens on one idle engine.
    [[nodiscard]] double prefillMs(double tokens) const;

    /// Time of one iteration with @p requests decoding requests and @p contextTokens tokens of context in total.
    [[nodiscard]] double iterationMs(double requests, double contextTokens) const;

    /// Time to generate an output of @p tokens in a full batch.
    [[nodiscard]] double decodeMs(double tokens) const;
};

/// A service and the model engine that its endpoints run.
struct ServiceEntry {
    std::string name;
    std::optional<EngineModel> engine; ///< Not set for a service without a model engine.
    std::size_t maxConnections = 0; ///< Maximum number of connections that one endpoint accepts from all VMs together; 0 if unknown.

    auto operator<=>(const ServiceEntry &) const = default;
};

/// A workspace and the API keys of its callers.
struct WorkspaceEntry {
    WorkspaceId name;
    std::vector<std::string> apiKeys;

    auto operator<=>(const WorkspaceEntry &) const = default;
};

/// Limits on requests and connections of callers.
struct CallerLimits {
    std::uint32_t headBytes = 16384;
    std::uint64_t bodyBytes = 4194304;
    milliseconds headTimeout{3000};
    milliseconds idleTimeout{15000};

    auto operator<=>(const CallerLimits &) const = default;
};

/// The contents of a plan, in any order.
struct ServingPlanParts {
    std::uint64_t version = 0;
    std::vector<RouteEntry> routes;
    std::vector<ServiceEntry> services;
    std::vector<WorkspaceEntry> workspaces;
    CallerLimits limits;
};

/// One version of the serving document, indexed for matching requests. Immutable.
class ServingPlan
{
public:
    explicit ServingPlan(ServingPlanParts parts);

    [[nodiscard]] std::uint64_t version() const;
    [[nodiscard]] const CallerLimits &limits() const;

    /// The route of @p host with the longest prefix of @p path, or null.
    [[nodiscard]] const RouteEntry *route(std::string_view host, std::string_view path) const;
    [[nodiscard]] const ServiceEntry *service(std::string_view name) const;

    /// The workspace that owns the API key @p apiKey, or null.
    [[nodiscard]] const WorkspaceEntry *workspace(const std::string &apiKey) const;

    /// Whether the plan has workspaces; if not, requests need no API key.
    [[nodiscard]] bool hasWorkspaces() const;

    [[nodiscard]] std::size_t routeCount() const;

private:
    std::uint64_t version_;
    CallerLimits limits_;
    std::map<std::string, std::vector<RouteEntry>, std::less<>> routesByHost_; ///< Longest prefix first.
    std::map<std::string, ServiceEntry, std::less<>> services_;
    std::vector<WorkspaceEntry> workspaces_;
    std::unordered_map<std::string, std::size_t> workspaceByApiKey_;
};

using ServingPlanPointer = std::shared_ptr<const ServingPlan>;

}
