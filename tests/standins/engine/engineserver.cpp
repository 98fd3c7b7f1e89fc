#include "standins/engine/engineserver.h"

#include "base/findings.h"
#include "base/jsonreader.h"
#include "routing/prefixblocks.h"
#include "standins/engine/generatedtext.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <limits>
#include <utility>

namespace Lentillock
{

namespace
{

/// Number of finished requests that are kept so that their streams can be resumed.
constexpr std::size_t MaxFinishedRequests = 10'000;

constexpr std::int64_t MaxInteger = std::numeric_limits<std::int64_t>::max();

boost::json::value parseBody(const HttpRequest &request)
{
    Findings findings;
    return parseJson(request.body, "body", findings).value_or(boost::json::value());
}

/// Reads a JSON body and ignores unknown members, as engines do.
class BodyReader
{
public:
    explicit BodyReader(const boost::json::value &body)
        : reader_(body, "body", "", findings_)
    {
    }

    JsonReader *operator->()
    {
        return &reader_;
    }

    [[nodiscard]] bool failed() const
    {
        return findings_.hasErrors();
    }

private:
    Findings findings_;
    JsonReader reader_;
};

std::uint64_t queryNumber(const HttpRequest &request, const std::string &name)
{
    const auto found = request.query.find(name);
    std::uint64_t number = 0;
    if (found != request.query.end()) {
        std::from_chars(found->second.data(), found->second.data() + found->second.size(), number);
    }
    return number;
}

std::size_t importCount(const boost::json::value *imports)
{
    return imports != nullptr && imports->is_array() ? imports->get_array().size() : 0;
}

std::string toHex(std::uint64_t number)
{
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(number));
    return digits.data();
}

}

EngineServer::EngineServer(const EngineSettings &settings, const std::string &model, const std::string &generation, double speed)
    : speed_(speed)
    , modelRate_(speed)
    , realOrigin_(RealClock::now())
    , modelOrigin_(std::chrono::hours(1))
    , model_(settings, generation, modelOrigin_)
    , models_{model}
    , thread_([this](const std::stop_token &stop) { run(stop); })
{
}

EngineServer::~EngineServer()
{
    thread_.request_stop();
    changed_.notify_all();
}

TimePoint EngineServer::modelTime() const
{
    return modelOrigin_ + std::chrono::duration_cast<Duration>((RealClock::now() - realOrigin_) * modelRate_);
}

void EngineServer::onFaultChanged()
{
    modelOrigin_ = modelTime();
    realOrigin_ = RealClock::now();
    modelRate_ = frozen_ ? 0 : speed_ / slowdownFactor_;
    changed_.notify_all();
}

void EngineServer::handleRequest(const HttpRequest &request, const HttpResponderPtr &responder)
{
    const std::string &path = request.path;
    if (path == "/v1/completions" && request.method == "POST") {
        startCompletion(request, responder);
    } else if (path == "/v1/prefill" && request.method == "POST") {
        startPrefill(request, responder);
    } else if (path.starts_with("/v1/requests/")) {
        handleRequestPath(request, responder);
    } else if (path == "/v1/load") {
        sendLoad(responder);
    } else if (path == "/v1/cache-events") {
        sendCacheEvents(request, responder);
    } else if (path.starts_with("/v1/allocations")) {
        handleAllocations(request, responder);
    } else if (path == "/v1/orders" && request.method == "POST") {
        handleOrder(request, responder);
    } else {
        refuse(responder, 404, "no such path", WasNotRun);
    }
}

void EngineServer::startCompletion(const HttpRequest &request, const HttpResponderPtr &responder)
{
    const boost::json::value body = parseBody(request);
    BodyReader reader(body);
    const std::string model = reader->requiredString("model");
    std::string prompt = reader->requiredString("prompt");
    const std::string continuation = reader->string("continuation", "");
    EngineRequest engineRequest;
    engineRequest.id = header(request, "x-request-id");
    engineRequest.maxTokens = static_cast<std::uint64_t>(reader->integer("max_tokens", 16, 1, MaxInteger));
    if (const boost::json::value *kv = reader->member("kv"); kv != nullptr && kv->is_object()) {
        BodyReader kvReader(*kv);
        engineRequest.allocation = kvReader->string("allocation", "");
        engineRequest.importedTokens = importCount(kvReader->member("imports")) * estimatedTokens(prompt);
    }
    engineRequest.firstPosition = continuation.size() / GeneratedTokenBytes;
    engineRequest.maxTokens += engineRequest.firstPosition;
    engineRequest.promptTokens = estimatedTokens(prompt) + engineRequest.firstPosition;
    engineRequest.prefixBlocks = prefixBlockHashes(prompt, reader->string("cache_salt", ""));
    const std::string priority = header(request, "x-priority");
    std::from_chars(priority.data(), priority.data() + priority.size(), engineRequest.priority);

    if (reader.failed() || engineRequest.id.empty()) {
        refuse(responder, 400, "malformed request", WasNotRun);
    } else if (std::find(models_.begin(), models_.end(), model) == models_.end()) {
        refuse(responder, 404, "the model is not loaded", WasNotRun);
    } else if (draining_) {
        refuse(responder, 503, "the engine is draining", WasNotRun);
    } else if (full_) {
        refuse(responder, 507, "the engine is full", WasNotRun);
    } else if (records_.contains(engineRequest.id)) {
        countCall(request);
        refuse(responder, 409, "the request id is in use", "unknown");
    } else if (!model_.submit(modelTime(), engineRequest)) {
        refuse(responder, 507, "the request does not fit", WasNotRun);
    } else {
        countCall(request);
        responder->beginStream();
        records_[engineRequest.id]
            = {std::move(prompt), engineRequest.firstPosition, engineRequest.promptTokens, false, {{responder, engineRequest.firstPosition, silenceCount_}}};
        changed_.notify_all();
    }
}

void EngineServer::startPrefill(const HttpRequest &request, const HttpResponderPtr &responder)
{
    const boost::json::value body = parseBody(request);
    BodyReader reader(body);
    const std::string prompt = reader->requiredString("prompt");
    EngineRequest engineRequest;
    engineRequest.allocation = reader->requiredString("allocation");
    engineRequest.id = "prefill-" + engineRequest.allocation + '-' + std::to_string(reader->integer("part", 0, 0, MaxInteger));
    engineRequest.promptTokens = estimatedTokens(prompt);
    engineRequest.importedTokens = importCount(reader->member("imports")) * engineRequest.promptTokens;
    if (reader.failed()) {
        refuse(responder, 400, "malformed request", WasNotRun);
    } else if (!model_.submit(modelTime(), engineRequest)) {
        refuse(responder, 409, "the allocation is not known or the part has been prefilled", WasNotRun);
    } else {
        records_[engineRequest.id] = {"", 0, engineRequest.promptTokens, true, {{responder, 0, silenceCount_}}};
        changed_.notify_all();
    }
}

void EngineServer::handleRequestPath(const HttpRequest &request, const HttpResponderPtr &responder)
{
    constexpr std::string_view prefix = "/v1/requests/";
    constexpr std::string_view suffix = "/stream";
    std::string id = request.path.substr(prefix.size());
    model_.advance(modelTime());
    if (id.ends_with(suffix)) {
        id.erase(id.size() - suffix.size());
        resumeStream(id, request, responder);
    } else if (request.method == "DELETE") {
        const auto found = records_.find(id);
        if (found != records_.end()) {
            model_.cancel(modelTime(), id);
            for (const Stream &stream : found->second.streams) {
                stream.responder->endStream();
            }
            records_.erase(found);
        }
        responder->send(200, "{}");
    } else {
        sendStatus(id, responder);
    }
}

void EngineServer::resumeStream(const std::string &id, const HttpRequest &request, const HttpResponderPtr &responder)
{
    const auto found = records_.find(id);
    const std::uint64_t from = queryNumber(request, "from");
    if (found == records_.end()) {
        refuse(responder, 404, "the request is not known", "unknown");
        return;
    }
    responder->beginStream();
    found->second.streams.push_back({responder, found->second.firstPosition + from, silenceCount_});
    changed_.notify_all();
}

void EngineServer::sendStatus(const std::string &id, const HttpResponderPtr &responder) const
{
    const auto status = model_.status(id);
    boost::json::object body{{"state", "unknown"}, {"position", 0}};
    if (status) {
        const bool waiting = status->phase == EngineRequestPhase::Queued;
        body["state"] = waiting ? "queued" : status->phase == EngineRequestPhase::Finished ? "finished" : "running";
        const auto record = records_.find(id);
        body["position"] = status->position - (record == records_.end() ? 0 : record->second.firstPosition);
    }
    responder->send(200, boost::json::serialize(body));
}

void EngineServer::sendLoad(const HttpResponderPtr &responder)
{
    const TimePoint now = modelTime();
    model_.advance(now);
    const EngineLoad load = model_.load(now);
    boost::json::array models;
    for (const std::string &model : models_) {
        models.emplace_back(model);
    }
    const auto age = std::chrono::duration_cast<milliseconds>((now - load.measuredAt) / speed_);
    const boost::json::object body{{"generation", model_.generation()},
                                   {"draining", draining_},
                                   {"models", std::move(models)},
                                   {"totalTokens", load.totalTokens},
                                   {"freeTokens", load.freeTokens},
                                   {"queuedTokens", load.queuedTokens},
                                   {"running", load.running},
                                   {"ageMs", age.count()},
                                   {"version", model_.lastOrder().version},
                                   {"role", model_.lastOrder().role},
                                   {"fencing", model_.lastOrder().fencing}};
    responder->send(200, boost::json::serialize(body));
}

void EngineServer::sendCacheEvents(const HttpRequest &request, const HttpResponderPtr &responder)
{
    std::uint64_t next = queryNumber(request, "after");
    boost::json::array events;
    for (const CacheEvent &event : model_.cacheEvents(modelTime(), next)) {
        next = event.sequence;
        events.push_back({{"seq", event.sequence}, {"type", event.stored ? "stored" : "evicted"}, {"block", toHex(event.block)}});
    }
    const boost::json::object body{{"events", std::move(events)}, {"next", next}};
    responder->send(200, boost::json::serialize(body));
}

void EngineServer::handleAllocations(const HttpRequest &request, const HttpResponderPtr &responder)
{
    constexpr std::string_view prefix = "/v1/allocations/";
    if (request.method == "POST") {
        const boost::json::value body = parseBody(request);
        BodyReader reader(body);
        const std::string id = reader->requiredString("id");
        const EngineAllocation allocation{reader->requiredString("owner"),
                                          static_cast<std::uint64_t>(reader->requiredInteger("tokens", 1, MaxInteger)),
                                          reader->integer("deadlineMs", 0, 0, MaxInteger)};
        if (reader.failed()) {
            refuse(responder, 400, "malformed request", WasNotRun);
        } else if (draining_) {
            refuse(responder, 503, "the engine is draining", WasNotRun);
        } else if (full_ || !model_.allocate(modelTime(), id, allocation)) {
            refuse(responder, 507, "the allocation does not fit", WasNotRun);
        } else {
            responder->send(201, "{}");
        }
    } else if (request.method == "DELETE" && request.path.starts_with(prefix)) {
        const bool released = model_.release(modelTime(), request.path.substr(prefix.size()));
        responder->send(released ? 200 : 404, "{}");
    } else {
        boost::json::array list;
        for (const auto &[id, allocation] : model_.allocations()) {
            list.push_back({{"id", id}, {"owner", allocation.owner}, {"tokens", allocation.tokens}, {"deadlineMs", allocation.deadlineMs}});
        }
        responder->send(200, boost::json::serialize(boost::json::object{{"allocations", std::move(list)}}));
    }
}

void EngineServer::handleOrder(const HttpRequest &request, const HttpResponderPtr &responder)
{
    const boost::json::value body = parseBody(request);
    BodyReader reader(body);
    EngineOrder order;
    order.fencing = static_cast<std::uint64_t>(reader->integer("fencing", 0, 0, MaxInteger));
    order.generation = reader->string("generation", "");
    order.model = reader->string("model", "");
    order.version = reader->string("version", "");
    order.role = reader->string("role", "");
    order.ifIdle = reader->boolean("ifIdle", false);
    if (reader.failed() || (order.model.empty() && !order.version.empty())) {
        refuse(responder, 400, "malformed order", WasNotRun);
        return;
    }
    switch (model_.order(modelTime(), order)) {
    case EngineOrderResult::Done:
        if (!order.model.empty()) {
            models_ = {order.model};
        }
        responder->send(200, "{}");
        break;
    case EngineOrderResult::StaleFencing:
        refuse(responder, 412, "the fencing number is stale", WasNotRun);
        break;
    case EngineOrderResult::WrongGeneration:
        refuse(responder, 409, "the generation does not match", WasNotRun);
        break;
    case EngineOrderResult::Busy:
        refuse(responder, 409, "the engine is not idle", WasNotRun);
        break;
    }
}

void EngineServer::run(const std::stop_token &stop)
{
    std::unique_lock lock(mutex_);
    while (!stop.stop_requested()) {
        if (!frozen_) {
            model_.advance(modelTime());
            sendProgress();
        }
        const auto next = model_.nextStepEnd();
        if (frozen_ || !next) {
            // The timeout bounds the delay if a notification is missed between the check and the wait.
            changed_.wait_for(lock, 100ms);
            continue;
        }
        const auto left = std::chrono::duration_cast<RealClock::duration>((*next - modelTime()) / modelRate_);
        changed_.wait_for(lock, std::max<RealClock::duration>(left, 200us));
    }
}

void EngineServer::sendProgress()
{
    for (auto &[id, record] : records_) {
        std::erase_if(record.streams, [this, &id = id, &record = record](Stream &stream) { return sendStreamProgress(id, record, stream); });
    }
    for (const EngineEvent &event : model_.takeEvents()) {
        if (event.kind == EngineEvent::Kind::Finished) {
            retainFinished(event.request);
        }
    }
}

bool EngineServer::sendStreamProgress(const std::string &id, RequestRecord &record, Stream &stream)
{
    const auto status = model_.status(id);
    if (!status || !stream.responder->isOpen()) {
        return true;
    }
    if (stream.silenceCount != silenceCount_) {
        return false;
    }
    const bool finished = status->phase == EngineRequestPhase::Finished;
    if (record.isPrefill) {
        if (finished) {
            stream.responder->send(200, boost::json::serialize(boost::json::object{{"tokens", record.promptTokens}}));
        }
        return finished;
    }
    if (status->position > stream.position) {
        const boost::json::object data{{"text", generatedText(record.prompt, stream.position, status->position)},
                                       {"tokens", status->position - stream.position}};
        stream.responder->sendChunk("id: " + std::to_string(stream.position - record.firstPosition) + "\ndata: " + boost::json::serialize(data) + "\n\n");
        stream.position = status->position;
    }
    if (finished) {
        sendEnd(record, *status, stream);
    }
    return finished;
}

void EngineServer::sendEnd(const RequestRecord &record, const EngineRequestStatus &status, Stream &stream)
{
    const boost::json::object usage{
        {"prompt_tokens", record.promptTokens}, {"completion_tokens", status.position - record.firstPosition}, {"cached_tokens", status.cachedTokens}};
    const std::uint64_t end = status.position - record.firstPosition;
    const boost::json::object data{{"finish", "stop"}, {"position", end}, {"usage", usage}};
    stream.responder->sendChunk("id: " + std::to_string(end) + "\ndata: " + boost::json::serialize(data) + "\n\n");
    stream.responder->endStream();
}

void EngineServer::retainFinished(const std::string &id)
{
    finishedIds_.push_back(id);
    if (finishedIds_.size() > MaxFinishedRequests) {
        model_.removeFinished(finishedIds_.front());
        records_.erase(finishedIds_.front());
        finishedIds_.erase(finishedIds_.begin());
    }
}

}
