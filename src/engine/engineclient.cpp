#include "engine/engineclient.h"

#include "base/mailbox.h"
#include "engine/answerdecoder.h"
#include "engine/transfer.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <thread>
#include <unordered_map>
#include <utility>

namespace Lentillock
{

namespace
{

// Answers other than streams are short; more can only be a fault of the endpoint.
constexpr std::size_t MaxCallAnswerBytes = 256UL * 1024;

// Longest part of an endpoint's error text that is passed on.
constexpr std::size_t MaxErrorTextBytes = 512;

// The dispatcher ends attempts at their deadline; this only guards against a transfer that it no longer knows of.
constexpr milliseconds TransferGrace{10000};

constexpr milliseconds IdlePoll{1000};
constexpr std::size_t MaxHeldResults = 1024;

constexpr int HttpOk = 200;
constexpr int FirstErrorStatus = 400;
constexpr int FirstServerErrorStatus = 500;

struct Stop {
};

std::string url(const std::string &address, const std::string &path)
{
    return "http://" + address + path;
}

milliseconds remaining(TimePoint deadline)
{
    return std::max(std::chrono::duration_cast<milliseconds>(deadline - std::chrono::steady_clock::now()), milliseconds(1));
}

boost::json::array importsToJson(const std::vector<KvImport> &imports)
{
    boost::json::array array;
    for (const KvImport &import : imports) {
        array.push_back(boost::json::object{{"endpoint", import.endpoint.value()}, {"allocation", import.allocation.value()}});
    }
    return array;
}

/// Object text without the closing brace, with a trailing @p member name for the prompt that follows.
std::string headBeforePrompt(const boost::json::object &members)
{
    std::string text = boost::json::serialize(members);
    text.back() = ',';
    return text + "\"prompt\":";
}

boost::json::object parsedObject(const std::string &text)
{
    boost::json::error_code error;
    boost::json::value value = boost::json::parse(text, error);
    return !error && value.is_object() ? std::move(value.get_object()) : boost::json::object{};
}

std::string stringMember(const boost::json::object &object, std::string_view name)
{
    const boost::json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::uint64_t countMember(const boost::json::object &object, std::string_view name)
{
    const boost::json::value *value = object.if_contains(name);
    boost::json::error_code error;
    const std::uint64_t number = value != nullptr && value->is_number() ? value->to_number<std::uint64_t>(error) : 0;
    return error ? 0 : number;
}

boost::json::object errorMember(const std::string &body)
{
    boost::json::object object = parsedObject(body);
    boost::json::value *error = object.if_contains("error");
    return error != nullptr && error->is_object() ? std::move(error->get_object()) : boost::json::object{};
}

bool refusedNotRun(const std::string &body)
{
    return stringMember(errorMember(body), "runState") == "was-not-run";
}

std::string errorText(const std::string &body)
{
    const std::string message = stringMember(errorMember(body), "message");
    return (message.empty() ? body : message).substr(0, MaxErrorTextBytes);
}

EngineRequestState requestState(const std::string &name)
{
    constexpr std::array<std::pair<std::string_view, EngineRequestState>, 4> states{{
        {"queued", EngineRequestState::Queued},
        {"running", EngineRequestState::Running},
        {"finished", EngineRequestState::Finished},
        {"unknown", EngineRequestState::NotKnown},
    }};
    const auto *found = std::find_if(states.begin(), states.end(), [&](const auto &state) { return state.first == name; });
    return found == states.end() ? EngineRequestState::NoAnswer : found->second;
}

std::optional<LoadReport> loadReport(const TransferResult &result, const std::string &body)
{
    const boost::json::object object = parsedObject(body);
    if (result.code != CURLE_OK || result.status != HttpOk || object.empty()) {
        return std::nullopt;
    }
    LoadReport report{.generation = stringMember(object, "generation"),
                      .models = {},
                      .totalTokens = countMember(object, "totalTokens"),
                      .freeTokens = countMember(object, "freeTokens"),
                      .queuedTokens = countMember(object, "queuedTokens"),
                      .running = countMember(object, "running"),
                      .measuredAt = std::chrono::steady_clock::now() - milliseconds(std::min(countMember(object, "ageMs"), std::uint64_t{3'600'000}))};
    const boost::json::value *draining = object.if_contains("draining");
    report.draining = draining != nullptr && draining->is_bool() && draining->get_bool();
    const boost::json::value *models = object.if_contains("models");
    if (models != nullptr && models->is_array()) {
        for (const boost::json::value &model : models->get_array()) {
            if (model.is_string()) {
                report.models.emplace_back(std::string(model.get_string()));
            }
        }
    }
    return report;
}

}

/// The thread that owns the multi handle and all transfers.
class EngineClient::Task
{
public:
    Task(EngineClientSettings settings, Sink sink, Metrics &metrics)
        : settings_(std::move(settings))
        , sink_(std::move(sink))
        , metrics_(metrics)
        , multi_(curl_multi_init(), curl_multi_cleanup)
    {
        curl_multi_setopt(multi_.get(), CURLMOPT_MAXCONNECTS, settings_.maxIdleConnections);
        mailbox_.setWakeUp([this] { curl_multi_wakeup(multi_.get()); });
        thread_ = std::thread([this] { run(); });
    }

    ~Task()
    {
        mailbox_.post(Stop{});
        thread_.join();
    }

    Task(const Task &) = delete;
    Task &operator=(const Task &) = delete;

    void post(EngineAction action)
    {
        mailbox_.post(std::move(action));
    }

private:
    using Message = std::variant<EngineAction, Stop>;
    using CallDone = std::function<void(const TransferResult &result, const std::string &body)>;

    /// The stream of an attempt, from the first call or from a resume.
    struct AttemptStream {
        AttemptId attempt;
        RequestKind kind = RequestKind::Completion;
        bool resumed = false;
        bool passesThrough = false; ///< A service's answer whose head has been passed on.
        int status = 0;
        std::string contentType{};
        std::string heldBody{}; ///< Body of an error answer, which may be an explicit refusal.
        std::uint64_t bytes = 0; ///< Of a service's answer.
        std::string fault{};
        std::optional<AnswerDecoder> decoder{};
    };

    void run()
    {
        while (!stopped_) {
            for (Message &message : mailbox_.takeAll()) {
                if (EngineAction *action = std::get_if<EngineAction>(&message)) {
                    std::visit([this](auto &value) { carryOut(value); }, *action);
                } else {
                    stopped_ = true;
                }
            }
            int running = 0;
            curl_multi_perform(multi_.get(), &running);
            collectFinished();
            if (!results_.empty()) {
                sink_(std::exchange(results_, {}));
            }
            if (!stopped_) {
                curl_multi_poll(multi_.get(), nullptr, 0, static_cast<int>(IdlePoll.count()), nullptr);
            }
        }
        for (const auto &[pointer, transfer] : transfers_) {
            curl_multi_remove_handle(multi_.get(), transfer->handle());
        }
        transfers_.clear();
    }

    void collectFinished()
    {
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(multi_.get(), &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            const CURLcode code = message->data.result;
            Transfer *transfer = Transfer::of(message->easy_handle);
            const auto found = transfers_.find(transfer);
            const std::unique_ptr<Transfer> owned = std::move(found->second);
            transfers_.erase(found);
            curl_multi_remove_handle(multi_.get(), owned->handle());
            owned->finish(code);
        }
    }

    Transfer *start(TransferRequest request, Transfer::Callbacks callbacks)
    {
        request.connectTimeout = settings_.connectTimeout;
        auto transfer = std::make_unique<Transfer>(std::move(request), std::move(callbacks));
        Transfer *pointer = transfer.get();
        curl_multi_add_handle(multi_.get(), pointer->handle());
        transfers_.emplace(pointer, std::move(transfer));
        return pointer;
    }

    void drop(const AttemptId &attempt)
    {
        const auto found = streams_.find(attempt);
        if (found == streams_.end()) {
            return;
        }
        const auto transfer = transfers_.find(found->second.first);
        curl_multi_remove_handle(multi_.get(), transfer->second->handle());
        transfers_.erase(transfer);
        streams_.erase(found);
    }

    /// A short call whose answer is a JSON object.
    void call(TransferRequest request, CallDone done)
    {
        request.timeout = request.timeout == milliseconds(0) ? settings_.probeTimeout : request.timeout;
        auto body = std::make_shared<std::string>();
        start(std::move(request),
              {.body =
                   [body](std::string_view bytes) {
                       body->append(bytes);
                       return body->size() <= MaxCallAnswerBytes;
                   },
               .done = [body, done = std::move(done)](const TransferResult &result) { done(result, *body); }});
    }

    void startStream(TransferRequest request, AttemptStream initial)
    {
        drop(initial.attempt);
        auto stream = std::make_shared<AttemptStream>(std::move(initial));
        Transfer *transfer = start(std::move(request),
                                   {.head = [this, stream](int status, const std::string &type) { receiveHead(*stream, status, type); },
                                    .body = [this, stream](std::string_view bytes) { return receiveBody(*stream, bytes); },
                                    .done =
                                        [this, stream](const TransferResult &result) {
                                            streams_.erase(stream->attempt);
                                            finishStream(*stream, result);
                                        }});
        streams_.emplace(stream->attempt, std::pair(transfer, stream->kind));
    }

    void receiveHead(AttemptStream &stream, int status, const std::string &contentType)
    {
        stream.status = status;
        stream.contentType = contentType;
        if (stream.kind == RequestKind::Service ? status < FirstErrorStatus : status == HttpOk) {
            accept(stream);
        }
    }

    void accept(AttemptStream &stream)
    {
        results_.emplace_back(AttemptAccepted{.attempt = stream.attempt, .status = stream.status, .contentType = stream.contentType});
        if (stream.kind == RequestKind::Service) {
            stream.passesThrough = true;
        } else {
            stream.decoder.emplace(stream.attempt);
        }
    }

    bool receiveBody(AttemptStream &stream, std::string_view bytes)
    {
        // libcurl may read several megabytes of one stream at a time. The sink may wait until earlier results have been handled.
        if (results_.size() >= MaxHeldResults) {
            sink_(std::exchange(results_, {}));
        }
        if (stream.decoder) {
            if (auto fault = stream.decoder->decode(bytes, results_)) {
                stream.fault = std::move(*fault);
                return false;
            }
            return true;
        }
        if (!stream.passesThrough) {
            stream.heldBody.append(bytes);
            if (stream.heldBody.size() <= MaxCallAnswerBytes) {
                return true;
            }
            if (stream.kind == RequestKind::Completion) {
                return false;
            }
            // Too long for an explicit refusal, so it is the service's own answer.
            passHeldBody(stream);
            return true;
        }
        passBytes(stream, std::string(bytes));
        return true;
    }

    void passBytes(AttemptStream &stream, std::string bytes)
    {
        const std::uint64_t length = bytes.size();
        results_.emplace_back(AttemptChunk{.attempt = stream.attempt, .position = stream.bytes, .length = length, .text = std::move(bytes)});
        stream.bytes += length;
    }

    void passHeldBody(AttemptStream &stream)
    {
        accept(stream);
        if (!stream.heldBody.empty()) {
            passBytes(stream, std::exchange(stream.heldBody, {}));
        }
    }

    void finishStream(AttemptStream &stream, const TransferResult &result)
    {
        if (stream.decoder && stream.decoder->ended()) {
            return;
        }
        const bool whole = result.code == CURLE_OK;
        const bool refused = whole && !stream.passesThrough && !stream.decoder && refusedNotRun(stream.heldBody);
        if (stream.kind == RequestKind::Service && whole && !refused) {
            if (!stream.passesThrough) {
                passHeldBody(stream);
            }
            results_.emplace_back(AttemptEnded{.attempt = stream.attempt, .position = stream.bytes, .finishReason = "stop"});
            return;
        }
        AttemptFailed failed{.attempt = stream.attempt, .failure = AttemptFailure::Broken, .status = stream.status, .message = {}};
        if (!stream.fault.empty()) {
            failed.message = stream.fault;
        } else if (result.connectFailed) {
            // The request itself was sent before a resume, so a refused resume says nothing about it.
            failed.failure = stream.resumed ? AttemptFailure::Broken : AttemptFailure::NotConnected;
            failed.message = "connection to the endpoint failed: " + result.message;
        } else if (!whole) {
            failed.message = "connection to the endpoint broke: " + result.message;
        } else if (stream.decoder) {
            failed.message = "the answer ended without its end marker";
        } else if (stream.resumed) {
            failed.message = "the endpoint refused to resume the answer: " + errorText(stream.heldBody);
        } else if (refused) {
            failed.failure = AttemptFailure::RefusedNotRun;
            failed.message = errorText(stream.heldBody);
        } else {
            const bool definite = stream.status >= FirstErrorStatus && stream.status < FirstServerErrorStatus;
            failed.failure = definite ? AttemptFailure::Rejected : AttemptFailure::Broken;
            failed.message = "the endpoint answered with status " + std::to_string(stream.status) + ": " + errorText(stream.heldBody);
        }
        metrics_.increment("lentillock_entry_attempt_failures_total", {{"failure", failureName(failed.failure)}});
        results_.emplace_back(std::move(failed));
    }

    static std::string failureName(AttemptFailure failure)
    {
        constexpr std::array<std::string_view, 4> names{"not_connected", "refused_not_run", "rejected", "broken"};
        return std::string(names.at(static_cast<std::size_t>(failure)));
    }

    void carryOut(const StartAttempt &action)
    {
        const RequestSpec &spec = *action.spec;
        TransferRequest request;
        // libcurl repeats a request by itself when a reused connection turns out to be closed, which must not happen to one that may run only once.
        request.newConnection = !spec.idempotent;
        request.timeout = remaining(spec.deadline) + TransferGrace;
        request.headers = {"X-Request-Id: " + action.attempt.value()};
        if (!spec.idempotencyKey.empty()) {
            // Lets an endpoint that remembers keys refuse a repeated call as well.
            request.headers.push_back("Idempotency-Key: " + spec.idempotencyKey);
        }
        if (spec.kind == RequestKind::Service) {
            request.method = spec.method;
            request.url = url(action.address, spec.path);
            request.payload = RequestPayload::plainText(spec.prompt);
            request.headers.push_back("Content-Type:" + (spec.contentType.empty() ? std::string() : ' ' + spec.contentType));
        } else {
            request.method = "POST";
            request.url = url(action.address, "/v1/completions");
            request.headers.emplace_back("Content-Type: application/json");
            request.headers.push_back("X-Priority: " + std::to_string(spec.priority));
            request.headers.push_back("X-Deadline-Ms: " + std::to_string(remaining(spec.deadline).count()));
            boost::json::object members{{"model", spec.model.value()}, {"max_tokens", spec.maxTokens}, {"stream", true}};
            if (!spec.cacheSalt.empty()) {
                members["cache_salt"] = spec.cacheSalt;
            }
            if (!action.continuation.empty()) {
                members["continuation"] = action.continuation;
            }
            if (action.allocation || !action.imports.empty()) {
                boost::json::object kv{{"imports", importsToJson(action.imports)}};
                if (action.allocation) {
                    kv["allocation"] = action.allocation->value();
                }
                members["kv"] = std::move(kv);
            }
            request.payload = RequestPayload::jsonString(headBeforePrompt(members), spec.prompt, action.promptOffset, std::string::npos, "}");
        }
        startStream(std::move(request), {.attempt = action.attempt, .kind = spec.kind});
    }

    void carryOut(const ResumeAttempt &action)
    {
        TransferRequest request;
        request.url = url(action.address, "/v1/requests/" + action.attempt.value() + "/stream?from=" + std::to_string(action.position));
        startStream(std::move(request), {.attempt = action.attempt, .resumed = true});
    }

    void carryOut(const CancelAttempt &action)
    {
        const auto found = streams_.find(action.attempt);
        const bool service = found != streams_.end() && found->second.second == RequestKind::Service;
        drop(action.attempt);
        if (service) {
            return;
        }
        TransferRequest request;
        request.method = "DELETE";
        request.url = url(action.address, "/v1/requests/" + action.attempt.value());
        call(std::move(request), [](const TransferResult &, const std::string &) {});
    }

    void carryOut(const ProbeAttempt &action)
    {
        TransferRequest request;
        request.url = url(action.address, "/v1/requests/" + action.attempt.value());
        call(std::move(request), [this, attempt = action.attempt](const TransferResult &result, const std::string &body) {
            AttemptProbed probed{.attempt = attempt};
            if (result.code == CURLE_OK) {
                const boost::json::object object = parsedObject(body);
                probed.state = requestState(stringMember(object, "state"));
                probed.position = countMember(object, "position");
            }
            results_.emplace_back(probed);
        });
    }

    void carryOut(const ProbeEndpoint &action)
    {
        TransferRequest request;
        request.url = url(action.address, "/v1/load");
        call(std::move(request), [this, endpoint = action.endpoint](const TransferResult &result, const std::string &body) {
            results_.emplace_back(EndpointProbed{.endpoint = endpoint, .load = loadReport(result, body)});
        });
    }

    void carryOut(const ReserveAllocation &action)
    {
        TransferRequest request;
        request.method = "POST";
        request.url = url(action.address, "/v1/allocations");
        request.headers = {"Content-Type: application/json"};
        request.payload = RequestPayload(boost::json::serialize(boost::json::object{{"id", action.allocation.value()},
                                                                                    {"owner", settings_.owner + '/' + action.request.value()},
                                                                                    {"tokens", action.tokens},
                                                                                    {"deadlineMs", remaining(action.deadline).count()}}));
        call(std::move(request), [this, allocation = action.allocation](const TransferResult &result, const std::string &) {
            constexpr int created = 201;
            results_.emplace_back(AllocationAnswered{.allocation = allocation, .granted = result.code == CURLE_OK && result.status == created});
        });
    }

    void carryOut(const PrefillPart &action)
    {
        TransferRequest request;
        request.method = "POST";
        request.url = url(action.address, "/v1/prefill");
        request.headers = {"Content-Type: application/json"};
        request.timeout = remaining(action.spec->deadline);
        const boost::json::object members{{"allocation", action.allocation.value()}, {"part", action.part}, {"imports", importsToJson(action.imports)}};
        request.payload = RequestPayload::jsonString(headBeforePrompt(members), action.spec->prompt, action.promptOffset, action.promptLength, "}");
        call(std::move(request), [this, allocation = action.allocation](const TransferResult &result, const std::string &) {
            results_.emplace_back(PrefillAnswered{.allocation = allocation, .succeeded = result.code == CURLE_OK && result.status == HttpOk});
        });
    }

    void carryOut(const ReleaseAllocation &action)
    {
        TransferRequest request;
        request.method = "DELETE";
        request.url = url(action.address, "/v1/allocations/" + action.allocation.value());
        call(std::move(request), [](const TransferResult &, const std::string &) {});
    }

    EngineClientSettings settings_;
    Sink sink_;
    Metrics &metrics_;
    std::unique_ptr<CURLM, CURLMcode (*)(CURLM *)> multi_;
    std::unordered_map<Transfer *, std::unique_ptr<Transfer>> transfers_;
    std::unordered_map<AttemptId, std::pair<Transfer *, RequestKind>> streams_;
    std::vector<DispatchInput> results_;
    Mailbox<Message> mailbox_;
    bool stopped_ = false;
    std::thread thread_;
};

EngineClient::EngineClient(EngineClientSettings settings, Sink sink, Metrics &metrics)
    : task_(std::make_unique<Task>(std::move(settings), std::move(sink), metrics))
{
}

EngineClient::~EngineClient() = default;

void EngineClient::post(EngineAction action)
{
    task_->post(std::move(action));
}

}
