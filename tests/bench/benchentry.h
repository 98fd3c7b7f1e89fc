#pragma once

#include "bench/benchrandom.h"
#include "bench/benchresult.h"
#include "bench/eventqueue.h"
#include "bench/simulatedfleet.h"
#include "routing/admissionqueue.h"
#include "routing/fleetstate.h"
#include "routing/overloadcontrol.h"
#include "routing/prefixblocks.h"
#include "routing/routingpolicy.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Lentillock
{

/// A simulated entry process: admission queue, routing policy and attempts. It routes by its own view of the fleet, which it refreshes periodically.
class BenchEntry
{
public:
    using ResultHandler = std::function<void(const BenchResult &)>;

    BenchEntry(EventQueue &events,
               SimulatedFleet &fleet,
               ZoneId zone,
               std::unique_ptr<RoutingPolicy> policy,
               bool refusesOverload,
               std::uint64_t seed,
               ResultHandler onResult);

    void handleArrival(const BenchRequest &request);
    /// Copies the current view of the fleet and dispatches queued requests that it has room for.
    void refreshView();

private:
    static constexpr std::size_t MaxQueueLength = 2000;
    static constexpr std::uint64_t MaxPartTokens = 250'000; ///< Longer prompts are split into parts on several engines of one zone.
    static constexpr std::size_t MaxAttempts = 4;
    static constexpr Duration RetryDelay = 100ms;

    struct Part {
        EndpointId endpoint;
        std::string id;
        std::uint64_t tokens = 0;
    };

    struct ActiveRequest {
        BenchRequest request;
        RouteRequest route;
        TimePoint arrival;
        TimePoint started;
        std::uint64_t prefillTokensAhead = 0;
        std::vector<Part> parts; ///< A single part if the prompt fits on one engine.
        std::size_t currentPart = 0;
        std::size_t attempts = 0;
        std::uint64_t cachedTokens = 0;
        std::optional<Duration> firstToken;
    };

    void dispatchQueued();
    [[nodiscard]] bool placeOnEngines(const std::string &id, ActiveRequest &active);
    [[nodiscard]] std::vector<Part> chooseEndpoints(ActiveRequest &active);
    [[nodiscard]] std::vector<FleetState::Candidate>
    unusedCandidatesInZone(const std::vector<FleetState::Candidate> &candidates, const ZoneId &zone, const std::vector<Part> &used) const;
    [[nodiscard]] bool reserve(const std::vector<Part> &parts, const ActiveRequest &active);
    void startAttempt(const std::string &id, ActiveRequest &active);
    void submitPart(const std::string &id, std::size_t attempt);
    void handleEngineEvent(const std::string &id, std::size_t attempt, const EngineEvent &event);
    void handlePartFinished(const std::string &id, ActiveRequest &active);
    void handleLostAttempt(const std::string &id, std::size_t attempt);
    void releaseParts(ActiveRequest &active);
    void expireRequest(const std::string &id);
    void finishRequest(const std::string &id, BenchOutcome outcome);

    EventQueue &events_;
    SimulatedFleet &fleet_;
    ZoneId zone_;
    std::unique_ptr<RoutingPolicy> policy_;
    BenchRandom random_;
    ResultHandler onResult_;
    FleetState state_;
    AdmissionQueue queue_;
    bool refusesOverload_;
    OverloadControl overload_;
    std::map<std::string, ActiveRequest> activeRequests_;
};

}
