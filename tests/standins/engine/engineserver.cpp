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

/// Finished answers that can still be resumed.
constexpr std::size_t MaxFinishedAnswers = 10'000;

constexpr std::int64_t MaxInteger = std::numeric_limits<std::int64_t>::max();

boost::json::value parsedBody(const HttpRequest &request)
{
    Findings findings;
    return parseJson(request.body, "body", findings).value_or(boost::json::value());
}

/// Reads a body leniently: engines ignore members that they do not know.
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

std::string hexadecimal(std::uint64_t number)
{
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(number));
    return digits.data();
}

}

EngineServer::EngineServer(const EngineSettings &settings, const std::string &model, const std::string &generation, double speed)
    : speed_(speed)
    , rate_(speed)
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
    return modelOrigin_ + std::chrono::duration_cast<Duration>((RealClock::now() - realOrigin_) * rate_);
}

void EngineServer::faultChanged()
{
    modelOrigin_ = modelTime();
    realOrigin_ = RealClock::now();
    rate_ = frozen_ ? 0 : speed_ / slowFactor_;
    changed_.notify_all();
}

void EngineServer::handleOwn(const HttpRequest &request, const HttpAnswerPtr &answer)
{
    const std::string &path = request.path;
    if (path == "/v1/completions" && request.method == "POST") {
        startCompletion(request, answer);
    } else if (path == "/v1/prefill" && request.method == "POST") {
        startPrefill(request, answer);
    } else if (path.starts_with("/v1/requests/")) {
        handleRequestPath(request, answer);
    } else if (path == "/v1/load") {
        sendLoad(answer);
    } else if (path == "/v1/cache-events") {
        sendCacheEvents(request, answer);
    } else if (path.starts_with("/v1/allocations")) {
        handleAllocations(request, answer);
    } else if (path == "/v1/orders" && request.method == "POST") {
        takeOrder(request, answer);
    } else {
        refuse(answer, 404, "no such path", WasNotRun);
    }
}

void EngineServer::startCompletion(const HttpRequest &request, const HttpAnswerPtr &answer)
{
    const boost::json::value body = parsedBody(request);
    BodyReader reader(body);
    const std::string model = reader->requiredString("model");
    std::string prompt = reader->requiredString("prompt");
    const std::string continuation = reader->string("continuation", "");
    EngineRequest work;
    work.id = header(request, "x-request-id");
    work.maxTokens = static_cast<std::uint64_t>(reader->integer("max_tokens", 16, 1, MaxInteger));
    if (const boost::json::value *kv = reader->member("kv"); kv != nullptr && kv->is_object()) {
        BodyReader kvReader(*kv);
        work.allocation = kvReader->string("allocation", "");
        work.importedTokens = importCount(kvReader->member("imports")) * estimatedTokens(prompt);
    }
    work.firstPosition = continuation.size() / GeneratedTokenBytes;
    work.maxTokens += work.firstPosition;
    work.promptTokens = estimatedTokens(prompt) + work.firstPosition;
    work.prefixBlocks = prefixBlockHashes(prompt, reader->string("cache_salt", ""));
    const std::string priority = header(request, "x-priority");
    std::from_chars(priority.data(), priority.data() + priority.size(), work.priority);

    if (reader.failed() || work.id.empty()) {
        refuse(answer, 400, "malformed request", WasNotRun);
    } else if (std::find(models_.begin(), models_.end(), model) == models_.end()) {
        refuse(answer, 404, "the model is not loaded", WasNotRun);
    } else if (draining_) {
        refuse(answer, 503, "the engine is draining", WasNotRun);
    } else if (full_) {
        refuse(answer, 507, "the engine is full", WasNotRun);
    } else if (answers_.contains(work.id)) {
        countCall(request);
        refuse(answer, 409, "the request id is in use", "unknown");
    } else if (!model_.submit(modelTime(), work)) {
        refuse(answer, 507, "the request does not fit", WasNotRun);
    } else {
        countCall(request);
        answer->beginStream();
        answers_[work.id] = {std::move(prompt), work.firstPosition, work.promptTokens, false, {{answer, work.firstPosition, silences_}}};
        changed_.notify_all();
    }
}

void EngineServer::startPrefill(const HttpRequest &request, const HttpAnswerPtr &answer)
{
    const boost::json::value body = parsedBody(request);
    BodyReader reader(body);
    const std::string prompt = reader->requiredString("prompt");
    EngineRequest work;
    work.allocation = reader->requiredString("allocation");
    work.id = "prefill-" + work.allocation + '-' + std::to_string(reader->integer("part", 0, 0, MaxInteger));
    work.promptTokens = estimatedTokens(prompt);
    work.importedTokens = importCount(reader->member("imports")) * work.promptTokens;
    if (reader.failed()) {
        refuse(answer, 400, "malformed request", WasNotRun);
    } else if (!model_.submit(modelTime(), work)) {
        refuse(answer, 409, "the allocation is not known or the part has been prefilled", WasNotRun);
    } else {
        answers_[work.id] = {"", 0, work.promptTokens, true, {{answer, 0, silences_}}};
        changed_.notify_all();
    }
}

void EngineServer::handleRequestPath(const HttpRequest &request, const HttpAnswerPtr &answer)
{
    constexpr std::string_view prefix = "/v1/requests/";
    constexpr std::string_view suffix = "/stream";
    std::string id = request.path.substr(prefix.size());
    model_.advance(modelTime());
    if (id.ends_with(suffix)) {
        id.erase(id.size() - suffix.size());
        resumeStream(id, request, answer);
    } else if (request.method == "DELETE") {
        const auto found = answers_.find(id);
        if (found != answers_.end()) {
            model_.cancel(modelTime(), id);
            for (const Stream &stream : found->second.streams) {
                stream.answer->endStream();
            }
            answers_.erase(found);
        }
        answer->send(200, "{}");
    } else {
        sendStatus(id, answer);
    }
}

void EngineServer::resumeStream(const std::string &id, const HttpRequest &request, const HttpAnswerPtr &answer)
{
    const auto found = answers_.find(id);
    const std::uint64_t from = queryNumber(request, "from");
    if (found == answers_.end()) {
        refuse(answer, 404, "the request is not known", "unknown");
        return;
    }
    answer->beginStream();
    found->second.streams.push_back({answer, found->second.firstPosition + from, silences_});
    changed_.notify_all();
}

void EngineServer::sendStatus(const std::string &id, const HttpAnswerPtr &answer) const
{
    const auto status = model_.status(id);
    boost::json::object body{{"state", "unknown"}, {"position", 0}};
    if (status) {
        const bool waiting = status->phase == EngineRequestPhase::Queued;
        body["state"] = waiting ? "queued" : status->phase == EngineRequestPhase::Finished ? "finished" : "running";
        const auto answered = answers_.find(id);
        body["position"] = status->position - (answered == answers_.end() ? 0 : answered->second.firstPosition);
    }
    answer->send(200, boost::json::serialize(body));
}

void EngineServer::sendLoad(const HttpAnswerPtr &answer)
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
    answer->send(200, boost::json::serialize(body));
}

void EngineServer::sendCacheEvents(const HttpRequest &request, const HttpAnswerPtr &answer)
{
    std::uint64_t next = queryNumber(request, "after");
    boost::json::array events;
    for (const CacheEvent &event : model_.cacheEvents(modelTime(), next)) {
        next = event.sequence;
        events.push_back({{"seq", event.sequence}, {"type", event.stored ? "stored" : "evicted"}, {"block", hexadecimal(event.block)}});
    }
    const boost::json::object body{{"events", std::move(events)}, {"next", next}};
    answer->send(200, boost::json::serialize(body));
}

void EngineServer::handleAllocations(const HttpRequest &request, const HttpAnswerPtr &answer)
{
    constexpr std::string_view prefix = "/v1/allocations/";
    if (request.method == "POST") {
        const boost::json::value body = parsedBody(request);
        BodyReader reader(body);
        const std::string id = reader->requiredString("id");
        const EngineAllocation allocation{reader->requiredString("owner"),
                                          static_cast<std::uint64_t>(reader->requiredInteger("tokens", 1, MaxInteger)),
                                          reader->integer("deadlineMs", 0, 0, MaxInteger)};
        if (reader.failed()) {
            refuse(answer, 400, "malformed request", WasNotRun);
        } else if (draining_) {
            refuse(answer, 503, "the engine is draining", WasNotRun);
        } else if (full_ || !model_.allocate(modelTime(), id, allocation)) {
            refuse(answer, 507, "the allocation does not fit", WasNotRun);
        } else {
            answer->send(201, "{}");
        }
    } else if (request.method == "DELETE" && request.path.starts_with(prefix)) {
        const bool released = model_.release(modelTime(), request.path.substr(prefix.size()));
        answer->send(released ? 200 : 404, "{}");
    } else {
        boost::json::array list;
        for (const auto &[id, allocation] : model_.allocations()) {
            list.push_back({{"id", id}, {"owner", allocation.owner}, {"tokens", allocation.tokens}, {"deadlineMs", allocation.deadlineMs}});
        }
        answer->send(200, boost::json::serialize(boost::json::object{{"allocations", std::move(list)}}));
    }
}

void EngineServer::takeOrder(const HttpRequest &request, const HttpAnswerPtr &answer)
{
    const boost::json::value body = parsedBody(request);
    BodyReader reader(body);
    EngineOrder order;
    order.fencing = static_cast<std::uint64_t>(reader->integer("fencing", 0, 0, MaxInteger));
    order.generation = reader->string("generation", "");
    order.model = reader->string("model", "");
    order.version = reader->string("version", "");
    order.role = reader->string("role", "");
    order.ifIdle = reader->boolean("ifIdle", false);
    if (reader.failed() || (order.model.empty() && !order.version.empty())) {
        refuse(answer, 400, "malformed order", WasNotRun);
        return;
    }
    switch (model_.order(modelTime(), order)) {
    case EngineOrderResult::Done:
        if (!order.model.empty()) {
            models_ = {order.model};
        }
        answer->send(200, "{}");
        break;
    case EngineOrderResult::StaleFencing:
        refuse(answer, 412, "the fencing number is old", WasNotRun);
        break;
    case EngineOrderResult::WrongGeneration:
        refuse(answer, 409, "the generation is another one", WasNotRun);
        break;
    case EngineOrderResult::Busy:
        refuse(answer, 409, "the engine has work", WasNotRun);
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
            // The timeout bounds the wait should a notification come between the check and the wait.
            changed_.wait_for(lock, 100ms);
            continue;
        }
        const auto left = std::chrono::duration_cast<RealClock::duration>((*next - modelTime()) / rate_);
        changed_.wait_for(lock, std::max<RealClock::duration>(left, 200us));
    }
}

void EngineServer::sendProgress()
{
    for (auto &[id, answer] : answers_) {
        std::erase_if(answer.streams, [this, &id = id, &answer = answer](Stream &stream) { return progress(id, answer, stream); });
    }
    for (const EngineEvent &event : model_.takeEvents()) {
        if (event.kind == EngineEvent::Kind::Finished) {
            forgetOldest(event.request);
        }
    }
}

bool EngineServer::progress(const std::string &id, Answer &answer, Stream &stream)
{
    const auto status = model_.status(id);
    if (!status || !stream.answer->isOpen()) {
        return true;
    }
    if (stream.silences != silences_) {
        return false;
    }
    const bool finished = status->phase == EngineRequestPhase::Finished;
    if (answer.isPrefill) {
        if (finished) {
            stream.answer->send(200, boost::json::serialize(boost::json::object{{"tokens", answer.promptTokens}}));
        }
        return finished;
    }
    if (status->position > stream.position) {
        const boost::json::object data{{"text", generatedText(answer.prompt, stream.position, status->position)},
                                       {"tokens", status->position - stream.position}};
        stream.answer->sendChunk("id: " + std::to_string(stream.position - answer.firstPosition) + "\ndata: " + boost::json::serialize(data) + "\n\n");
        stream.position = status->position;
    }
    if (finished) {
        sendEnd(answer, *status, stream);
    }
    return finished;
}

void EngineServer::sendEnd(const Answer &answer, const EngineRequestStatus &status, Stream &stream)
{
    const boost::json::object usage{
        {"prompt_tokens", answer.promptTokens}, {"completion_tokens", status.position - answer.firstPosition}, {"cached_tokens", status.cachedTokens}};
    const std::uint64_t end = status.position - answer.firstPosition;
    const boost::json::object data{{"finish", "stop"}, {"position", end}, {"usage", usage}};
    stream.answer->sendChunk("id: " + std::to_string(end) + "\ndata: " + boost::json::serialize(data) + "\n\n");
    stream.answer->endStream();
}

void EngineServer::forgetOldest(const std::string &id)
{
    finished_.push_back(id);
    if (finished_.size() > MaxFinishedAnswers) {
        model_.forget(finished_.front());
        answers_.erase(finished_.front());
        finished_.erase(finished_.begin());
    }
}

}
