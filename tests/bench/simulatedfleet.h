#pragma once

#include "bench/benchrandom.h"
#include "bench/eventqueue.h"
#include "config/servingdocument.h"
#include "dispatch/servingview.h"
#include "standins/engine/enginemodel.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Lentillock
{

/// Simulates the engines of one user in virtual time.
class SimulatedFleet
{
public:
    using EngineEventHandler = std::function<void(const EngineEvent &)>;
    /// Called for each request that was running on an engine when the engine failed.
    using LossHandler = std::function<void(const std::string &request)>;

    static constexpr std::size_t ZoneCount = 3;
    static constexpr std::size_t LargeModelEngines = 14;
    static constexpr std::size_t SmallModelEngines = 3;

    SimulatedFleet(EventQueue &events, const EngineSettings &settings, const Objectives &objectives);

    /// Submits the request to the engine. Returns false if the engine has failed or rejects the request.
    bool submit(const EndpointId &endpoint, const EngineRequest &request, EngineEventHandler onEvent, EventQueue::Callback onLoss);
    void cancel(const EndpointId &endpoint, const std::string &request);
    bool allocate(const EndpointId &endpoint, const std::string &id, std::uint64_t tokens);
    void release(const EndpointId &endpoint, const std::string &id);

    void kill(const EndpointId &endpoint);
    void killZone(const ZoneId &zone);

    [[nodiscard]] bool isAlive(const EndpointId &endpoint) const;
    [[nodiscard]] ServingViewPtr currentView() const;
    [[nodiscard]] std::vector<CacheEvent> cacheEvents(const EndpointId &endpoint, std::uint64_t after) const;
    [[nodiscard]] std::uint64_t cachedTokens(const EndpointId &endpoint, const std::string &request) const;
    [[nodiscard]] Duration delay(const ZoneId &from, const EndpointId &to) const;
    [[nodiscard]] const ServingDocument &document() const;
    /// Utilization of the engines of @p model since @p since: the fraction of time in which they computed.
    [[nodiscard]] double busyShare(const ModelId &model, TimePoint since) const;

private:
    /// Time until the control processes detect that an engine has failed.
    static constexpr Duration DetectionDelay = 1s;

    struct RunningRequest {
        EngineEventHandler onEvent;
        EventQueue::Callback onLoss;
    };

    struct Engine {
        explicit Engine(const EngineSettings &settings, TimePoint start)
            : model(settings, "1", start)
        {
        }

        EngineModel model;
        bool alive = true;
        TimePoint diedAt;
        bool stepScheduled = false;
        Duration busy = Duration::zero();
        std::map<std::string, RunningRequest> running;
    };

    void scheduleStep(const EndpointId &endpoint);
    void deliverEvents(Engine &engine);
    void addEngine(const EngineSettings &settings, const std::string &id, const std::string &zone, const std::string &model);

    EventQueue &events_;
    std::shared_ptr<ServingDocument> document_;
    std::map<EndpointId, Engine> engines_;
};

}
