#include "engine/engineclient.h"

#include "base/mailbox.h"
#include "engine/responsedecoder.h"
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

// Limit for a buffered body. Responses other than streams and service responses are short, so a longer one can only be an endpoint error.
constexpr std::size_t MaxBufferedBodyBytes = 256UL * 1024;

// An endpoint's error text is truncated to this length.
constexpr std::size_t MaxErrorTextBytes = 512;

// The dispatcher ends attempts at their deadline. This margin after the deadline ends a transfer that the dispatcher no longer tracks.
constexpr milliseconds TransferGrace{10000};

constexpr milliseconds PollTimeout{1000};
constexpr std::size_t MaxBatchedResults = 1024;

constexpr int HttpOk = 200;
constexpr int FirstErrorStatus = 400;
constexpr int FirstServerErrorStatus = 500;

struct Stop {
};

std::string url(const std::string &address, const std::string &path)
{
    return "http://" + address + path;
}

milliseconds remainingTime(TimePoint deadline)
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

/// Serializes @p members as a JSON object up to the value of a last member "prompt". The caller appends that value and the closing brace.
std::string jsonBeforePrompt(const boost::json::object &members)
{
    std::string text = boost::json::serialize(members);
    text.back() = ',';
    return text + "\"prompt\":";
}

boost::json::object parseObject(const std::string &text)
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
    boost::json::object object = parseObject(body);
    boost::json::value *error = object.if_contains("error");
    return error != nullptr && error->is_object() ? std::move(error->get_object()) : boost::json::object{};
}

bool statesNotRun(const std::string &body)
{
    return stringMember(errorMember(body), "runState") == "was-not-run";
}

std::string errorText(const std::string &body)
{
    const std::string message = stringMember(errorMember(body), "message");
    return (message.empty() ? body : message).substr(0, MaxErrorTextBytes);
}

EngineRequestState parseRequestState(const std::string &name)
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

std::optional<LoadReport> parseLoadReport(const TransferResult &result, const std::string &body)
{
    const boost::json::object object = parseObject(body);
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
    using CallCallback = std::function<void(const TransferResult &result, const std::string &body)>;

    /// The response stream of an attempt, of its first request or of a resume.
    struct AttemptStream {
        AttemptId attempt;
        RequestKind kind = RequestKind::Completion;
        bool resumed = false;
        bool forwardsBody = false; ///< The head of a service's response has been forwarded, so the body is forwarded as it arrives.
        int status = 0;
        std::string contentType{};
        std::string bufferedBody{}; ///< Body of an error response, which may be an explicit refusal.
        std::uint64_t bytes = 0; ///< Forwarded bytes of a service's response.
        std::string decodeError{};
        std::optional<ResponseDecoder> decoder{};
    };

    void run()
    {
        while (!stopped_) {
            for (Message &message : mailbox_.takeAll()) {
                if (EngineAction *action = std::get_if<EngineAction>(&message)) {
                    std::visit([this](auto &value) { execute(value); }, *action);
                } else {
                    stopped_ = true;
                }
            }
            int running = 0;
            curl_multi_perform(multi_.get(), &running);
            finishTransfers();
            if (!results_.empty()) {
                sink_(std::exchange(results_, {}));
            }
            if (!stopped_) {
                curl_multi_poll(multi_.get(), nullptr, 0, static_cast<int>(PollTimeout.count()), nullptr);
            }
        }
        for (const auto &[pointer, transfer] : transfers_) {
            curl_multi_remove_handle(multi_.get(), transfer->handle());
        }
        transfers_.clear();
    }

    void finishTransfers()
    {
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(multi_.get(), &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            const CURLcode code = message->data.result;
            Transfer *transfer = Transfer::fromHandle(message->easy_handle);
            const auto found = transfers_.find(transfer);
            const std::unique_ptr<Transfer> owned = std::move(found->second);
            transfers_.erase(found);
            curl_multi_remove_handle(multi_.get(), owned->handle());
            owned->finish(code);
        }
    }

    Transfer *startTransfer(TransferRequest request, Transfer::Callbacks callbacks)
    {
        request.connectTimeout = settings_.connectTimeout;
        auto transfer = std::make_unique<Transfer>(std::move(request), std::move(callbacks));
        Transfer *pointer = transfer.get();
        curl_multi_add_handle(multi_.get(), pointer->handle());
        transfers_.emplace(pointer, std::move(transfer));
        return pointer;
    }

    void abortStream(const AttemptId &attempt)
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

    /// Sends a request whose response is a short JSON object, and buffers the body.
    void call(TransferRequest request, CallCallback done)
    {
        request.timeout = request.timeout == milliseconds(0) ? settings_.probeTimeout : request.timeout;
        auto body = std::make_shared<std::string>();
        startTransfer(std::move(request),
                      {.body =
                           [body](std::string_view bytes) {
                               body->append(bytes);
                               return body->size() <= MaxBufferedBodyBytes;
                           },
                       .done = [body, done = std::move(done)](const TransferResult &result) { done(result, *body); }});
    }

    void startStream(TransferRequest request, AttemptStream initial)
    {
        abortStream(initial.attempt);
        auto stream = std::make_shared<AttemptStream>(std::move(initial));
        Transfer *transfer = startTransfer(std::move(request),
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
            acceptAttempt(stream);
        }
    }

    void acceptAttempt(AttemptStream &stream)
    {
        results_.emplace_back(AttemptAccepted{.attempt = stream.attempt, .status = stream.status, .contentType = stream.contentType});
        if (stream.kind == RequestKind::Service) {
            stream.forwardsBody = true;
        } else {
            stream.decoder.emplace(stream.attempt);
        }
    }

    bool receiveBody(AttemptStream &stream, std::string_view bytes)
    {
        // libcurl may read several megabytes of one stream at a time, so results are also delivered during a read. The sink may block until earlier results
        // have been handled.
        if (results_.size() >= MaxBatchedResults) {
            sink_(std::exchange(results_, {}));
        }
        if (stream.decoder) {
            if (auto decodeError = stream.decoder->decode(bytes, results_)) {
                stream.decodeError = std::move(*decodeError);
                return false;
            }
            return true;
        }
        if (!stream.forwardsBody) {
            stream.bufferedBody.append(bytes);
            if (stream.bufferedBody.size() <= MaxBufferedBodyBytes) {
                return true;
            }
            if (stream.kind == RequestKind::Completion) {
                return false;
            }
            // The body is too long for an explicit refusal, so it is the service's own response.
            forwardBufferedBody(stream);
            return true;
        }
        forwardBytes(stream, std::string(bytes));
        return true;
    }

    void forwardBytes(AttemptStream &stream, std::string bytes)
    {
        const std::uint64_t length = bytes.size();
        results_.emplace_back(AttemptChunk{.attempt = stream.attempt, .position = stream.bytes, .length = length, .text = std::move(bytes)});
        stream.bytes += length;
    }

    void forwardBufferedBody(AttemptStream &stream)
    {
        acceptAttempt(stream);
        if (!stream.bufferedBody.empty()) {
            forwardBytes(stream, std::exchange(stream.bufferedBody, {}));
        }
    }

    void finishStream(AttemptStream &stream, const TransferResult &result)
    {
        if (stream.decoder && stream.decoder->ended()) {
            return;
        }
        const bool isComplete = result.code == CURLE_OK;
        const bool isRefused = isComplete && !stream.forwardsBody && !stream.decoder && statesNotRun(stream.bufferedBody);
        if (stream.kind == RequestKind::Service && isComplete && !isRefused) {
            if (!stream.forwardsBody) {
                forwardBufferedBody(stream);
            }
            results_.emplace_back(AttemptEnded{.attempt = stream.attempt, .position = stream.bytes, .finishReason = "stop"});
            return;
        }
        AttemptFailed failed{.attempt = stream.attempt, .failure = AttemptFailure::Broken, .status = stream.status, .message = {}};
        if (!stream.decodeError.empty()) {
            failed.message = stream.decodeError;
        } else if (result.connectFailed) {
            // The request was sent before the resume, so a resume that cannot connect does not show that the request was not run.
            failed.failure = stream.resumed ? AttemptFailure::Broken : AttemptFailure::NotConnected;
            failed.message = "connection to the endpoint failed: " + result.message;
        } else if (!isComplete) {
            failed.message = "connection to the endpoint broke: " + result.message;
        } else if (stream.decoder) {
            failed.message = "the answer ended without its end marker";
        } else if (stream.resumed) {
            failed.message = "the endpoint refused to resume the answer: " + errorText(stream.bufferedBody);
        } else if (isRefused) {
            failed.failure = AttemptFailure::RefusedNotRun;
            failed.message = errorText(stream.bufferedBody);
        } else {
            const bool isClientError = stream.status >= FirstErrorStatus && stream.status < FirstServerErrorStatus;
            failed.failure = isClientError ? AttemptFailure::Rejected : AttemptFailure::Broken;
            failed.message = "the endpoint answered with status " + std::to_string(stream.status) + ": " + errorText(stream.bufferedBody);
        }
        metrics_.increment("lentillock_entry_attempt_failures_total", {{"failure", failureName(failed.failure)}});
        results_.emplace_back(std::move(failed));
    }

    static std::string failureName(AttemptFailure failure)
    {
        constexpr std::array<std::string_view, 4> names{"not_connected", "refused_not_run", "rejected", "broken"};
        return std::string(names.at(static_cast<std::size_t>(failure)));
    }

    void execute(const StartAttempt &action)
    {
        const RequestSpec &spec = *action.spec;
        TransferRequest request;
        // libcurl resends a request on its own if a reused connection turns out to be closed. A request that may run only once must not be resent.
        request.newConnection = !spec.idempotent;
        request.timeout = remainingTime(spec.deadline) + TransferGrace;
        request.headers = {"X-Request-Id: " + action.attempt.value()};
        if (!spec.idempotencyKey.empty()) {
            // Lets an endpoint that stores idempotency keys refuse a repeated request too.
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
            request.headers.push_back("X-Deadline-Ms: " + std::to_string(remainingTime(spec.deadline).count()));
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
            request.payload = RequestPayload::jsonString(jsonBeforePrompt(members), spec.prompt, action.promptOffset, std::string::npos, "}");
        }
        startStream(std::move(request), {.attempt = action.attempt, .kind = spec.kind});
    }

    void execute(const ResumeAttempt &action)
    {
        TransferRequest request;
        request.url = url(action.address, "/v1/requests/" + action.attempt.value() + "/stream?from=" + std::to_string(action.position));
        startStream(std::move(request), {.attempt = action.attempt, .resumed = true});
    }

    void execute(const CancelAttempt &action)
    {
        const auto found = streams_.find(action.attempt);
        const bool service = found != streams_.end() && found->second.second == RequestKind::Service;
        abortStream(action.attempt);
        if (service) {
            return;
        }
        TransferRequest request;
        request.method = "DELETE";
        request.url = url(action.address, "/v1/requests/" + action.attempt.value());
        call(std::move(request), [](const TransferResult &, const std::string &) {});
    }

    void execute(const ProbeAttempt &action)
    {
        TransferRequest request;
        request.url = url(action.address, "/v1/requests/" + action.attempt.value());
        call(std::move(request), [this, attempt = action.attempt](const TransferResult &result, const std::string &body) {
            AttemptProbed probed{.attempt = attempt};
            if (result.code == CURLE_OK) {
                const boost::json::object object = parseObject(body);
                probed.state = parseRequestState(stringMember(object, "state"));
                probed.position = countMember(object, "position");
            }
            results_.emplace_back(probed);
        });
    }

    void execute(const ProbeEndpoint &action)
    {
        TransferRequest request;
        request.url = url(action.address, "/v1/load");
        call(std::move(request), [this, endpoint = action.endpoint](const TransferResult &result, const std::string &body) {
            results_.emplace_back(EndpointProbed{.endpoint = endpoint, .load = parseLoadReport(result, body)});
        });
    }

    void execute(const ReserveAllocation &action)
    {
        TransferRequest request;
        request.method = "POST";
        request.url = url(action.address, "/v1/allocations");
        request.headers = {"Content-Type: application/json"};
        request.payload = RequestPayload(boost::json::serialize(boost::json::object{{"id", action.allocation.value()},
                                                                                    {"owner", settings_.owner + '/' + action.request.value()},
                                                                                    {"tokens", action.tokens},
                                                                                    {"deadlineMs", remainingTime(action.deadline).count()}}));
        call(std::move(request), [this, allocation = action.allocation](const TransferResult &result, const std::string &) {
            constexpr int created = 201;
            results_.emplace_back(AllocationAnswered{.allocation = allocation, .granted = result.code == CURLE_OK && result.status == created});
        });
    }

    void execute(const PrefillPart &action)
    {
        TransferRequest request;
        request.method = "POST";
        request.url = url(action.address, "/v1/prefill");
        request.headers = {"Content-Type: application/json"};
        request.timeout = remainingTime(action.spec->deadline);
        const boost::json::object members{{"allocation", action.allocation.value()}, {"part", action.part}, {"imports", importsToJson(action.imports)}};
        request.payload = RequestPayload::jsonString(jsonBeforePrompt(members), action.spec->prompt, action.promptOffset, action.promptLength, "}");
        call(std::move(request), [this, allocation = action.allocation](const TransferResult &result, const std::string &) {
            results_.emplace_back(PrefillAnswered{.allocation = allocation, .succeeded = result.code == CURLE_OK && result.status == HttpOk});
        });
    }

    void execute(const ReleaseAllocation &action)
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
