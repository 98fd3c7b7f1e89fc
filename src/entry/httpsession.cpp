#include "entry/httpsession.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Lentillock
{

namespace
{

constexpr std::string_view ContinueReply = "HTTP/1.1 100 Continue\r\n\r\n";

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}

/// Label of the prompt length range in the latency metrics.
std::string promptLengthBand(const RequestSpec &spec)
{
    constexpr std::array<std::pair<std::uint64_t, std::string_view>, 3> bands{{{4000, "under_4k"}, {32000, "4k_32k"}, {100000, "32k_100k"}}};
    if (spec.kind == RequestKind::Service) {
        return "service";
    }
    const auto *found = std::find_if(bands.begin(), bands.end(), [&](const auto &band) { return spec.promptTokens < band.first; });
    return found == bands.end() ? "100k_1M" : std::string(found->second);
}

ErrorReply buffersFullError()
{
    return {.status = 503,
            .code = "buffers_full",
            .message = "the entry holds as many bytes of bodies and answers as it may",
            .runState = RunState::WasNotRun,
            .retryAfter = milliseconds(1000)};
}

}

HttpSession::HttpSession(const SessionEnvironment &environment, TimePoint now)
    : environment_(environment)
    , parser_(environment.limits.http)
    , phaseStart_(now)
    , reservation_(environment.budget)
{
}

HttpSession::~HttpSession() = default;

SessionOutput HttpSession::receive(TimePoint now, std::string_view bytes)
{
    SessionOutput output;
    if (phase_ == Phase::Closed || pipelineOverflow_) {
        return output;
    }
    if (phase_ == Phase::Responding) {
        if (parser_.pendingBytes() + bytes.size() > environment_.limits.maxPipelinedBytes) {
            pipelineOverflow_ = true;
        } else {
            parser_.append(bytes);
        }
        return output;
    }
    parser_.append(bytes);
    process(now, output);
    return output;
}

SessionOutput HttpSession::write(TimePoint now, const SendToCaller &part)
{
    SessionOutput output;
    if (phase_ != Phase::Responding || part.request != context_.spec.id) {
        return output;
    }
    if (!std::exchange(responseStarted_, true)) {
        environment_.metrics.observe("lentillock_entry_first_token_seconds", secondsBetween(phaseStart_, now), {{"band", promptLengthBand(context_.spec)}});
    }
    writer_->write(part, output.bytes);
    const std::size_t buffered = writer_->bufferedBytes();
    if (buffered == 0) {
        return output;
    }
    const bool tooLong = buffered > environment_.limits.maxAnswerBytes;
    if (!tooLong && reservation_.resize(buffered)) {
        return output;
    }
    output.abandoned = context_.spec.id;
    ErrorReply error = buffersFullError();
    if (tooLong) {
        error = {.status = 502,
                 .code = "answer_too_large",
                 .message = "the answer exceeds " + std::to_string(environment_.limits.maxAnswerBytes) + " bytes; ask for a stream",
                 .runState = RunState::Unknown};
    }
    error.runState = RunState::Unknown;
    refuse(error, false, output);
    return output;
}

SessionOutput HttpSession::finish(TimePoint now, const FinishRequest &end)
{
    SessionOutput output;
    if (phase_ != Phase::Responding || end.request != context_.spec.id) {
        return output;
    }
    if (!writer_->finish(end, output.bytes)) {
        setPhase(Phase::Closed, now);
        output.connectionAction = ConnectionAction::Abort;
        return output;
    }
    environment_.metrics.observe("lentillock_entry_request_seconds", secondsBetween(phaseStart_, now), {{"band", promptLengthBand(context_.spec)}});
    environment_.metrics.increment("lentillock_entry_requests_total", {{"result", end.succeeded ? "succeeded" : end.code}});
    endRequest(now, output);
    process(now, output);
    return output;
}

SessionOutput HttpSession::disconnect(std::string_view reason)
{
    SessionOutput output;
    if (phase_ == Phase::Responding) {
        output.abandoned = context_.spec.id;
        environment_.metrics.increment("lentillock_entry_callers_gone_total", {{"reason", std::string(reason)}});
    }
    phase_ = Phase::Closed;
    output.connectionAction = ConnectionAction::Abort;
    return output;
}

SessionOutput HttpSession::advance(TimePoint now)
{
    SessionOutput output;
    const SessionLimits &limits = environment_.limits;
    if (phase_ == Phase::Idle && now - phaseStart_ >= limits.idleTimeout) {
        setPhase(Phase::Closed, now);
        output.connectionAction = ConnectionAction::Close;
    } else if (phase_ == Phase::Head && now - phaseStart_ >= limits.headTimeout) {
        refuse({.status = 408, .code = "request_timeout", .message = "the head of the request did not arrive in time"}, false, output);
    } else if (phase_ == Phase::Body && now - phaseStart_ >= limits.bodyTimeout) {
        refuse({.status = 408, .code = "request_timeout", .message = "the body of the request did not arrive in time"}, false, output);
    }
    return output;
}

void HttpSession::process(TimePoint now, SessionOutput &output)
{
    while (phase_ != Phase::Responding && phase_ != Phase::Closed) {
        if (phase_ == Phase::Idle && parser_.hasBegun()) {
            context_ = {};
            context_.spec.id = environment_.newRequestId();
            context_.requestId = context_.spec.id.value();
            setPhase(Phase::Head, now);
        }
        switch (parser_.next()) {
        case HttpRequestParser::Step::NeedsInput:
            if (phase_ == Phase::Body) {
                reserveBodyBytes(output);
            }
            return;
        case HttpRequestParser::Step::Failed:
            refuse(parser_.error(), false, output);
            return;
        case HttpRequestParser::Step::Head:
            if (!beginRequest(now, output)) {
                return;
            }
            break;
        case HttpRequestParser::Step::Done:
            if (reserveBodyBytes(output)) {
                admit(now, output);
            }
            break;
        }
    }
}

bool HttpSession::beginRequest(TimePoint now, SessionOutput &output)
{
    const HttpRequestHead &head = parser_.head();
    keepAlive_ = head.keepAlive;
    setPhase(Phase::Body, now);
    const bool withoutBody = head.contentLength && *head.contentLength == 0;
    if (const auto reply = environment_.diagnostics(head.path()); reply && (head.method == "GET" || head.method == "HEAD")) {
        const bool keepAlive = keepAlive_ && withoutBody;
        output.bytes += ResponseWriter::plainReply(reply->status, reply->contentType, reply->body, keepAlive);
        if (!keepAlive) {
            setPhase(Phase::Closed, now);
            output.connectionAction = ConnectionAction::Close;
            return false;
        }
        endRequest(now, output);
        return phase_ != Phase::Closed;
    }
    context_.now = now;
    context_.head = &head;
    context_.view = environment_.view();
    std::optional<ErrorReply> error = environment_.filters.applyToHead(context_);
    if (!error && head.contentLength && !reservation_.resize(*head.contentLength)) {
        error = buffersFullError();
    }
    if (error) {
        // An unread body would be parsed as the next request, so the connection is closed unless the request has no body.
        refuse(*error, keepAlive_ && withoutBody, output);
        return phase_ != Phase::Closed;
    }
    if (head.expectsContinue && !withoutBody && parser_.pendingBytes() == 0) {
        output.bytes += ContinueReply;
    }
    return true;
}

bool HttpSession::reserveBodyBytes(SessionOutput &output)
{
    const std::size_t bytes = parser_.bodyBytes();
    if (bytes <= reservation_.size() || reservation_.resize(bytes)) {
        return true;
    }
    refuse(buffersFullError(), false, output);
    return false;
}

void HttpSession::admit(TimePoint now, SessionOutput &output)
{
    context_.body = parser_.takeBody();
    if (const auto error = environment_.filters.applyToBody(context_)) {
        refuse(*error, keepAlive_, output);
        return;
    }
    context_.head = nullptr;
    context_.workspace = nullptr;
    context_.view = nullptr;
    // The dispatcher and the transfers share the text and may outlive this session, so the text owns its reservation.
    auto reservation = std::make_shared<BufferReservation>(environment_.budget);
    const std::size_t bytes = context_.spec.prompt->size();
    if (!reservation_.resize(0) || !reservation->resize(bytes)) {
        refuse(buffersFullError(), keepAlive_, output);
        return;
    }
    context_.spec.prompt = SharedText(context_.spec.prompt.get(), [text = context_.spec.prompt, reservation](const std::string *) {});
    output.admitted = std::make_shared<const RequestSpec>(context_.spec);
    context_.spec.prompt = nullptr;
    writer_.emplace(context_.format, context_.requestId, keepAlive_);
    responseStarted_ = false;
    setPhase(Phase::Responding, now);
}

void HttpSession::refuse(const ErrorReply &error, bool keepAlive, SessionOutput &output)
{
    environment_.metrics.increment("lentillock_entry_refused_total", {{"code", error.code}});
    if (writer_ && writer_->hasBegun()) {
        setPhase(Phase::Closed, phaseStart_);
        output.connectionAction = ConnectionAction::Abort;
        return;
    }
    output.bytes += ResponseWriter::errorReply(error, context_.requestId, keepAlive);
    if (!keepAlive) {
        setPhase(Phase::Closed, phaseStart_);
        output.connectionAction = ConnectionAction::Close;
        return;
    }
    writer_.reset();
    (void)reservation_.resize(0);
    parser_.startNext();
    setPhase(Phase::Idle, phaseStart_);
}

void HttpSession::endRequest(TimePoint now, SessionOutput &output)
{
    writer_.reset();
    (void)reservation_.resize(0);
    if (pipelineOverflow_) {
        // The error concerns the pipelined request. With the previous request's identifier it would report a wrong run state for that request.
        context_ = {};
        context_.requestId = environment_.newRequestId().value();
        refuse({.status = 413,
                .code = "pipeline_too_long",
                .message = "more than " + std::to_string(environment_.limits.maxPipelinedBytes) + " bytes were sent before the answer to the previous request"},
               false,
               output);
        return;
    }
    if (!keepAlive_) {
        setPhase(Phase::Closed, now);
        output.connectionAction = ConnectionAction::Close;
        return;
    }
    parser_.startNext();
    setPhase(Phase::Idle, now);
}

void HttpSession::setPhase(Phase phase, TimePoint now)
{
    phase_ = phase;
    phaseStart_ = now;
    if (phase == Phase::Closed) {
        writer_.reset();
        (void)reservation_.resize(0);
    }
}

}
