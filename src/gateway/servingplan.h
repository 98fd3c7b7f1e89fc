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

/// What may happen more than once for one request.
enum class ExecutionSemantics {
    Idempotent, ///< May run any number of times.
    AtMostOnce, ///< May run at most once.
};

/// A service and its share of the requests of a route.
struct ServiceShare {
    std::string service;
    double weight = 1;

    auto operator<=>(const ServiceShare &) const = default;
};

/// Requests of one host below one path prefix.
struct RouteEntry {
    std::string name;
    std::string host;
    std::string pathPrefix;
    ExecutionSemantics executionSemantics = ExecutionSemantics::AtMostOnce;
    bool isStream = false;
    bool isResumable = false;
    bool isPublic = false; ///< Needs no key.
    bool isGeneration = false; ///< Goes to model engines and states its token counts.
    milliseconds timeout{0}; ///< Longest time until the answer is complete.
    milliseconds latencyObjective{0}; ///< For streams: until the first event.
    milliseconds pauseObjective{0}; ///< Longest pause between the events of a stream.
    int maxAttempts = 1; ///< Endpoints to which one request may be sent.
    std::vector<ServiceShare> services;

    auto operator<=>(const RouteEntry &) const = default;
};

/// Published figures of a model engine, from which the time of its work is computed.
struct EngineModel {
    int slots = 1; ///< Requests in one batch.
    double memoryTokens = 0;
    double stepMs = 0; ///< Time of one token step.
    double stepMsPerRequest = 0; ///< Added to each step for each request that generates.
    double stepMsPerThousandContext = 0; ///< Added to each step for each 1,000 tokens of context.
    double prefillTokensPerMs = 1;
    double attentionMsPerMillionPairs = 0; ///< Attention cost of reading: pairs of a token and an earlier one.
    int stepsPerIteration = 1; ///< Token steps of a pass that generates; one event of a stream holds as many tokens.
    double meanAnswerTokens = 0; ///< Mean length of an answer.

    auto operator<=>(const EngineModel &) const = default;

    /// Time to read a prompt of @p tokens on one idle engine.
    [[nodiscard]] double prefillMs(double tokens) const;

    /// Time of one pass with @p writers requests that generate and @p contextTokens tokens of context in total.
    [[nodiscard]] double iterationMs(double writers, double contextTokens) const;

    /// Time to generate an answer of @p tokens in a full batch.
    [[nodiscard]] double decodeMs(double tokens) const;
};

struct ServiceEntry {
    std::string name;
    std::optional<EngineModel> engine;
    std::size_t maxConnections = 0; ///< That one endpoint accepts from all VMs together; 0 if not stated.

    auto operator<=>(const ServiceEntry &) const = default;
};

struct WorkspaceEntry {
    WorkspaceId name;
    std::vector<std::string> keys;

    auto operator<=>(const WorkspaceEntry &) const = default;
};

/// Bounds on what a caller may send.
struct CallerLimits {
    std::uint32_t headBytes = 16384;
    std::uint64_t bodyBytes = 4194304;
    milliseconds headTimeout{3000};
    milliseconds idleTimeout{15000};

    auto operator<=>(const CallerLimits &) const = default;
};

/// The parts of a plan, in any order.
struct ServingPlanParts {
    std::uint64_t version = 0;
    std::vector<RouteEntry> routes;
    std::vector<ServiceEntry> services;
    std::vector<WorkspaceEntry> workspaces;
    CallerLimits limits;
};

/// One version of the serving document in the form in which requests are matched against it. Immutable.
class ServingPlan
{
public:
    explicit ServingPlan(ServingPlanParts parts);

    [[nodiscard]] std::uint64_t version() const;
    [[nodiscard]] const CallerLimits &limits() const;

    /// The route of @p host with the longest prefix of @p path, or null.
    [[nodiscard]] const RouteEntry *route(std::string_view host, std::string_view path) const;
    [[nodiscard]] const ServiceEntry *service(std::string_view name) const;

    /// The workspace that holds @p key, or null.
    [[nodiscard]] const WorkspaceEntry *workspace(const std::string &key) const;

    /// Whether requests need a key at all.
    [[nodiscard]] bool hasWorkspaces() const;

    [[nodiscard]] std::size_t routeCount() const;

private:
    std::uint64_t version_;
    CallerLimits limits_;
    std::map<std::string, std::vector<RouteEntry>, std::less<>> routesByHost_; ///< Longest prefix first.
    std::map<std::string, ServiceEntry, std::less<>> services_;
    std::vector<WorkspaceEntry> workspaces_;
    std::unordered_map<std::string, std::size_t> workspaceOfKey_;
};

using ServingPlanPointer = std::shared_ptr<const ServingPlan>;

}
