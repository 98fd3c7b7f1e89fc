#include "bench/simulatedfleet.h"

#include <algorithm>
#include <utility>

namespace Lentillock
{

namespace
{

constexpr Duration SameZoneDelay = 300us;
constexpr milliseconds CrossZoneDelay = 3ms;

ZoneId zoneId(std::size_t index)
{
    return ZoneId("zone-" + std::to_string(index % SimulatedFleet::ZoneCount));
}

}

SimulatedFleet::SimulatedFleet(EventQueue &events, const EngineSettings &settings, const Objectives &objectives)
    : events_(events)
    , document_(std::make_shared<ServingDocument>())
{
    document_->objectives = objectives;
    for (std::size_t zone = 0; zone < ZoneCount; ++zone) {
        document_->zones.push_back({zoneId(zone), "region"});
        for (std::size_t other = zone + 1; other < ZoneCount; ++other) {
            document_->links.push_back({zoneId(zone), zoneId(other), CrossZoneDelay, 1});
        }
    }
    for (std::size_t i = 0; i < LargeModelEngines; ++i) {
        addEngine(settings, "reader-" + std::to_string(i), zoneId(i).value(), "reader");
    }
    for (std::size_t i = 0; i < SmallModelEngines; ++i) {
        addEngine(settings, "desk-" + std::to_string(i), zoneId(i).value(), "desk");
    }
}

void SimulatedFleet::addEngine(const EngineSettings &settings, const std::string &id, const std::string &zone, const std::string &model)
{
    Endpoint endpoint;
    endpoint.id = EndpointId(id);
    endpoint.zone = ZoneId(zone);
    endpoint.model = ModelId(model);
    endpoint.memoryTokens = static_cast<std::int64_t>(settings.memoryTokens);
    document_->endpoints.push_back(endpoint);
    engines_.emplace(std::piecewise_construct, std::forward_as_tuple(endpoint.id), std::forward_as_tuple(settings, events_.now()));
}

bool SimulatedFleet::submit(const EndpointId &endpoint, const EngineRequest &request, EngineEventHandler onEvent, EventQueue::Callback onLoss)
{
    Engine &engine = engines_.at(endpoint);
    if (!engine.alive || !engine.model.submit(events_.now(), request)) {
        return false;
    }
    engine.running[request.id] = {std::move(onEvent), std::move(onLoss)};
    scheduleStep(endpoint);
    return true;
}

void SimulatedFleet::cancel(const EndpointId &endpoint, const std::string &request)
{
    Engine &engine = engines_.at(endpoint);
    engine.running.erase(request);
    if (engine.alive) {
        engine.model.cancel(events_.now(), request);
        scheduleStep(endpoint);
    }
}

bool SimulatedFleet::allocate(const EndpointId &endpoint, const std::string &id, std::uint64_t tokens)
{
    Engine &engine = engines_.at(endpoint);
    return engine.alive && engine.model.allocate(events_.now(), id, {"bench", tokens, 0});
}

void SimulatedFleet::release(const EndpointId &endpoint, const std::string &id)
{
    Engine &engine = engines_.at(endpoint);
    if (engine.alive) {
        engine.model.release(events_.now(), id);
        scheduleStep(endpoint);
    }
}

void SimulatedFleet::kill(const EndpointId &endpoint)
{
    Engine &engine = engines_.at(endpoint);
    engine.alive = false;
    engine.diedAt = events_.now();
    for (auto &[id, running] : std::exchange(engine.running, {})) {
        events_.after(SameZoneDelay, std::move(running.onLoss));
    }
}

void SimulatedFleet::killZone(const ZoneId &zone)
{
    for (const Endpoint &endpoint : document_->endpoints) {
        if (endpoint.zone == zone) {
            kill(endpoint.id);
        }
    }
}

bool SimulatedFleet::isAlive(const EndpointId &endpoint) const
{
    return engines_.at(endpoint).alive;
}

ServingViewPtr SimulatedFleet::currentView() const
{
    auto view = std::make_shared<ServingView>();
    const TimePoint now = events_.now();
    view->document = document_;
    view->receivedAt = now;
    for (const auto &[id, engine] : engines_) {
        EndpointState &state = view->endpoints[id];
        state.id = id;
        state.observedAt = engine.alive ? now : engine.diedAt;
        state.health = !engine.alive && now - engine.diedAt >= DetectionDelay ? EndpointHealth::Dead : EndpointHealth::Live;
        const EngineLoad load = engine.model.load(engine.alive ? now : engine.diedAt);
        state.load = LoadReport{"1", false, {}, load.totalTokens, load.freeTokens, load.queuedTokens, load.running, load.measuredAt};
    }
    return view;
}

std::vector<CacheEvent> SimulatedFleet::cacheEvents(const EndpointId &endpoint, std::uint64_t after) const
{
    return engines_.at(endpoint).model.cacheEvents(events_.now(), after);
}

std::uint64_t SimulatedFleet::cachedTokens(const EndpointId &endpoint, const std::string &request) const
{
    const auto status = engines_.at(endpoint).model.status(request);
    return status ? status->cachedTokens : 0;
}

Duration SimulatedFleet::delay(const ZoneId &from, const EndpointId &to) const
{
    const auto found = std::find_if(document_->endpoints.begin(), document_->endpoints.end(), [&to](const Endpoint &endpoint) { return endpoint.id == to; });
    return found->zone == from ? SameZoneDelay : Duration(CrossZoneDelay);
}

const ServingDocument &SimulatedFleet::document() const
{
    return *document_;
}

double SimulatedFleet::busyShare(const ModelId &model, TimePoint since) const
{
    Duration busy = Duration::zero();
    std::int64_t engines = 0;
    for (const Endpoint &endpoint : document_->endpoints) {
        if (endpoint.model == model) {
            busy += engines_.at(endpoint.id).busy;
            ++engines;
        }
    }
    return std::chrono::duration<double>(busy) / ((events_.now() - since) * engines);
}

void SimulatedFleet::scheduleStep(const EndpointId &endpoint)
{
    Engine &engine = engines_.at(endpoint);
    const auto end = engine.model.nextStepEnd();
    if (!engine.alive || engine.stepScheduled || !end) {
        return;
    }
    engine.stepScheduled = true;
    engine.busy += *end - events_.now();
    events_.at(*end, [this, endpoint, &engine] {
        engine.stepScheduled = false;
        if (engine.alive) {
            engine.model.advance(events_.now());
            deliverEvents(engine);
            scheduleStep(endpoint);
        }
    });
}

void SimulatedFleet::deliverEvents(Engine &engine)
{
    for (const EngineEvent &event : engine.model.takeEvents()) {
        const auto found = engine.running.find(event.request);
        if (found == engine.running.end()) {
            continue;
        }
        const EngineEventHandler onEvent = found->second.onEvent;
        onEvent(event);
        if (event.kind == EngineEvent::Kind::Finished) {
            engine.running.erase(event.request);
            engine.model.removeFinished(event.request);
        }
    }
}

}
