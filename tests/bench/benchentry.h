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

/// One entry of the simulation: queue, policy and attempts, with a view of its own that lags.
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

    void arrive(const BenchRequest &request);
    /// Takes a new view of the fleet and tries the waiting requests.
    void poll();

private:
    static constexpr std::size_t MaxQueueLength = 2000;
    static constexpr std::uint64_t MaxPartTokens = 250'000; ///< Longer prompts are split over several engines.
    static constexpr std::size_t MaxAttempts = 4;
    static constexpr Duration RetryDelay = 100ms;

    struct Part {
        EndpointId endpoint;
        std::string id;
        std::uint64_t tokens = 0;
    };

    struct Active {
        BenchRequest request;
        RouteRequest route;
        TimePoint arrival;
        TimePoint started;
        std::uint64_t prefillTokensAhead = 0;
        std::vector<Part> parts; ///< One for a prompt that fits on one engine.
        std::size_t currentPart = 0;
        std::size_t attempts = 0;
        std::uint64_t cachedTokens = 0;
        std::optional<Duration> firstToken;
    };

    void tryQueue();
    [[nodiscard]] bool place(const std::string &id, Active &active);
    [[nodiscard]] std::vector<Part> choosePlaces(Active &active);
    [[nodiscard]] std::vector<FleetState::Candidate>
    sameZone(const std::vector<FleetState::Candidate> &candidates, const ZoneId &zone, const std::vector<Part> &used) const;
    [[nodiscard]] bool reserve(const std::vector<Part> &parts, const Active &active);
    void begin(const std::string &id, Active &active);
    void submitPart(const std::string &id, std::size_t attempt);
    void engineEvent(const std::string &id, std::size_t attempt, const EngineEvent &event);
    void partFinished(const std::string &id, Active &active);
    void lose(const std::string &id, std::size_t attempt);
    void giveBack(Active &active);
    void expire(const std::string &id);
    void finish(const std::string &id, BenchOutcome outcome);

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
    std::map<std::string, Active> active_;
};

}
