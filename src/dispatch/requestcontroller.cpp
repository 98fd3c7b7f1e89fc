#include "dispatch/requestcontroller.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Lentillock
{

namespace
{

constexpr std::array<std::string_view, 6> StateNames = {"queued", "claiming", "reserving", "dispatching", "streaming", "done"};

constexpr int FirstServerError = 500;
constexpr int RequestTimeout = 408;
constexpr int TooManyRequests = 429;

/// Whether another endpoint would give the same answer.
bool isDefinite(int status)
{
    return status < FirstServerError && status != RequestTimeout && status != TooManyRequests;
}

RouteRequest routeOf(const RequestSpec &spec, const ZoneId &zone, TimePoint arrival)
{
    return {spec.workspace, spec.promptTokens, spec.maxTokens, spec.prefixBlocks, {}, zone, spec.deadline, arrival, spec.model};
}

bool keepsText(const RequestSpec &spec)
{
    return spec.idempotent && spec.kind == RequestKind::Completion;
}

}

RequestController::RequestController(DispatchContext &context, RequestSpecPtr spec, TimePoint now)
    : context_(context)
    , spec_(std::move(spec))
    , remaining_(spec_)
    , route_(routeOf(*spec_, context.settings.zone, now))
    , trace_(spec_->id, spec_->workspace, now, spec_->deadline, context.settings.maxTraceEvents)
    , arrival_(now)
    , notBefore_(now)
    , claim_(spec_)
    , assembler_(spec_->kind, keepsText(*spec_))
{
}

void RequestController::admit(TimePoint now)
{
    if (now >= spec_->deadline) {
        fail(now, Failures::deadlineExceeded());
        return;
    }
    if (spec_->kind == RequestKind::Completion) {
        context_.chooser.policy().requestArrived(now, route_);
    }
    if (const std::optional<Duration> retryAfter = context_.overload.retryAfter(now, queueEntry(), context_.queue)) {
        fail(now, Failures::overloaded(*retryAfter));
        return;
    }
    enqueue(now, now);
}

void RequestController::refuse(TimePoint now, const Failure &failure)
{
    fail(now, failure);
}

bool RequestController::isReadyToPlace(TimePoint now) const
{
    return state_ == State::Queued && now >= notBefore_;
}

void RequestController::place(TimePoint now)
{
    EndpointChooser::Placement placement = context_.chooser.choose(now, {*remaining_, route_, failed_}, context_.actions);
    std::visit([this, now](auto &found) { placeOn(now, std::move(found)); }, placement);
}

void RequestController::handle(TimePoint now, const CallerGone & /*message*/)
{
    fail(now, Failures::callerGone());
}

void RequestController::handle(TimePoint now, const ClaimDecided &message)
{
    if (!claim_.decide(message)) {
        context_.counters.foreignMessages += 1;
        return;
    }
    switch (message.verdict) {
    case ClaimVerdict::Won:
        trace_.add(now, "claim won", message.attempt.value());
        enqueue(now, now);
        break;
    case ClaimVerdict::Lost:
        // The holder may still be dispatched, so its state WasNotRun would not last.
        if (message.winnerState == RunState::Ran) {
            runState_.answerWhole();
        } else {
            runState_.attemptGivenUp();
        }
        fail(now, Failures::keyInUse(message.message));
        break;
    case ClaimVerdict::Refused:
        fail(now, Failures::keyRefused(message.message));
        break;
    }
}

void RequestController::handle(TimePoint now, const AttemptAccepted &message)
{
    if (!isLive(message.attempt)) {
        return;
    }
    attempt_->reached = true;
    attempt_->status = message.status;
    attempt_->contentType = message.contentType;
    attempt_->silence.progressMade(now);
    state_ = State::Streaming;
}

void RequestController::handle(TimePoint now, const AttemptChunk &message)
{
    if (!isLive(message.attempt)) {
        return;
    }
    attempt_->reached = true;
    const AnswerAssembler::ChunkResult result = assembler_.addChunk(message);
    if (result == AnswerAssembler::ChunkResult::Accepted) {
        deliver(now, message);
    } else {
        chunkDropped(now, result);
    }
}

void RequestController::handle(TimePoint now, const AttemptEnded &message)
{
    if (!isLive(message.attempt)) {
        return;
    }
    attempt_->reached = true;
    switch (assembler_.addEnd(message)) {
    case AnswerAssembler::EndResult::Whole:
        succeed(now, message);
        break;
    case AnswerAssembler::EndResult::Missing:
        resumeAfterGap(now);
        break;
    case AnswerAssembler::EndResult::Contradictory:
        fail(now, Failures::answerInconsistent());
        break;
    case AnswerAssembler::EndResult::Foreign:
        break;
    }
}

void RequestController::handle(TimePoint now, const AttemptFailed &message)
{
    if (!isLive(message.attempt)) {
        return;
    }
    reportFailure(now, message);
    const std::string cause = message.message.empty() ? "the endpoint has failed" : message.message;
    const bool mayResume = message.failure == AttemptFailure::Broken && spec_->kind == RequestKind::Completion;
    const bool notRun = message.failure == AttemptFailure::NotConnected || message.failure == AttemptFailure::RefusedNotRun;
    if (mayResume) {
        attempt_->reached = true;
        attempt_->silence.connectionLost(now);
        probe(now);
    } else if (notRun && !attempt_->reached) {
        const EndpointId endpoint = attempt_->endpoint;
        runState_.attemptNotRun();
        closeAttempt();
        releaseGroup(now);
        retry(now, endpoint, true, cause);
    } else if (message.failure == AttemptFailure::Rejected && !attempt_->reached && isDefinite(message.status)) {
        fail(now, Failures::rejected(message.status, message.message));
    } else {
        giveUp(now, cause);
    }
}

void RequestController::handle(TimePoint now, const AttemptProbed &message)
{
    if (!isLive(message.attempt)) {
        return;
    }
    const bool known = message.state != EngineRequestState::NotKnown && message.state != EngineRequestState::NoAnswer;
    attempt_->reached = attempt_->reached || known;
    decide(now, attempt_->silence.probeAnswered(now, message, assembler_.attemptPosition()));
}

void RequestController::handle(TimePoint now, const AllocationAnswered &message)
{
    if (state_ == State::Reserving && group_ != nullptr) {
        groupProgressed(now, group_->allocationAnswered(now, message));
    }
}

void RequestController::handle(TimePoint now, const PrefillAnswered &message)
{
    if (state_ == State::Reserving && group_ != nullptr) {
        groupProgressed(now, group_->prefillAnswered(now, message));
    }
}

void RequestController::handle(TimePoint now, const EndpointProbed &message)
{
    if (state_ == State::Reserving && group_ != nullptr) {
        groupProgressed(now, group_->endpointProbed(now, message));
    }
}

void RequestController::advance(TimePoint now)
{
    if (now >= spec_->deadline) {
        fail(now, Failures::deadlineExceeded());
        return;
    }
    if (state_ == State::Queued && now >= notBefore_) {
        notBefore_ = arrival_;
        context_.queueDue = true;
    } else if (state_ == State::Reserving && now >= group_->nextDue()) {
        groupProgressed(now, group_->advance(now));
    } else if (attempt_) {
        advanceAttempt(now);
    }
}

void RequestController::abort(TimePoint now)
{
    fail(now, Failures::aborted());
}

TimePoint RequestController::nextDue() const
{
    TimePoint due = spec_->deadline;
    if (state_ == State::Queued && notBefore_ > arrival_) {
        due = std::min(due, notBefore_);
    } else if (state_ == State::Reserving) {
        due = std::min(due, group_->nextDue());
    } else if (attempt_ && spec_->kind == RequestKind::Completion) {
        due = std::min(due, attempt_->silence.nextDue());
    } else if (attempt_ && attempt_->giveUpAt) {
        due = std::min(due, *attempt_->giveUpAt);
    }
    return due;
}

bool RequestController::isDone() const
{
    return state_ == State::Done;
}

bool RequestController::hasFailedEndpoints() const
{
    return !failed_.empty();
}

const RequestSpec &RequestController::spec() const
{
    return *remaining_;
}

boost::json::object RequestController::toJson() const
{
    boost::json::object result = trace_.toJson();
    result["state"] = StateNames[static_cast<std::size_t>(state_)];
    result["sent"] = assembler_.length();
    if (attempt_) {
        result["attempt"] = attempt_->id.value();
        result["endpoint"] = attempt_->endpoint.value();
    }
    return result;
}

RequestTrace RequestController::takeTrace()
{
    return std::move(trace_);
}

void RequestController::enqueue(TimePoint now, TimePoint notBefore)
{
    state_ = State::Queued;
    notBefore_ = notBefore;
    if (!context_.queue.push(queueEntry())) {
        fail(now, Failures::overloaded());
        return;
    }
    context_.queueDue = true;
}

QueueEntry RequestController::queueEntry() const
{
    return {spec_->id, spec_->workspace, spec_->priority, remaining_->promptTokens, arrival_, spec_->deadline};
}

void RequestController::askClaim(TimePoint now)
{
    context_.queue.remove(spec_->id);
    state_ = State::Claiming;
    const AttemptId attempt = context_.identifiers.nextAttempt();
    trace_.add(now, "claim asked", attempt.value());
    context_.actions.emplace_back(claim_.ask(attempt));
}

void RequestController::placeOn(TimePoint now, const RouteChoice &choice)
{
    if (choice.expectedTotal > spec_->deadline - now) {
        fail(now, Failures::cannotFinishInTime());
        return;
    }
    if (!claim_.isSatisfied()) {
        askClaim(now);
        return;
    }
    context_.queue.remove(spec_->id);
    const Endpoint *endpoint = context_.chooser.fleet().endpoint(choice.endpoint);
    startAttempt(now, {{}, choice.endpoint, endpoint->address, remaining_, {}, {}, {}, 0});
}

void RequestController::placeOn(TimePoint now, GroupPlan plan)
{
    if (!claim_.isSatisfied()) {
        askClaim(now);
        return;
    }
    context_.queue.remove(spec_->id);
    state_ = State::Reserving;
    trace_.add(now, "reserving a group", plan.zone.value() + ", " + std::to_string(plan.parts.size()) + " endpoints");
    group_ = std::make_unique<GroupController>(context_, remaining_, std::move(plan));
    group_->start(now);
}

void RequestController::placeOn(TimePoint now, NotPlaced reason)
{
    switch (reason) {
    case NotPlaced::Wait:
        if (!waitTraced_) {
            trace_.add(now, "waiting for an endpoint");
            waitTraced_ = true;
        }
        break;
    case NotPlaced::NoEndpoint:
        fail(now, Failures::noEndpoint());
        break;
    case NotPlaced::TooLong:
        fail(now, Failures::promptTooLong());
        break;
    }
}

void RequestController::startAttempt(TimePoint now, StartAttempt start)
{
    state_ = State::Dispatching;
    start.attempt = context_.identifiers.nextAttempt();
    start.continuation = assembler_.text();
    FleetState &fleet = context_.chooser.fleet();
    LiveAttempt attempt{start.attempt, start.endpoint, start.address, SilenceMonitor(context_.settings, now)};
    attempt.startedAt = now;
    attempt.prefillTokensAhead = fleet.inFlight(start.endpoint).prefillTokens;
    attempt_ = std::move(attempt);
    if (spec_->kind == RequestKind::Service && spec_->idempotent) {
        // Half of the time is left for another endpoint; a plain service cannot be asked about a call.
        attempt_->giveUpAt = now + (spec_->deadline - now) / 2;
    }
    assembler_.beginAttempt(start.attempt);
    runState_.attemptStarted();
    context_.attempts[start.attempt] = spec_->id;
    context_.counters.attempts += 1;
    context_.retries.requestDispatched(now, spec_->workspace);
    context_.overload.dispatched(now, remaining_->promptTokens);
    if (group_ == nullptr) {
        fleet.attemptStarted(start.attempt, start.endpoint, remaining_->promptTokens, remaining_->maxTokens);
        if (spec_->kind == RequestKind::Completion) {
            context_.chooser.policy().attemptStarted(now, route_, start.endpoint);
        }
    }
    trace_.add(now, "attempt started", start.attempt.value() + " on " + start.endpoint.value());
    context_.actions.emplace_back(std::move(start));
}

void RequestController::groupProgressed(TimePoint now, GroupController::Progress progress)
{
    const EndpointId failed = group_->failedEndpoint();
    switch (progress) {
    case GroupController::Progress::Waiting:
        break;
    case GroupController::Progress::Ready:
        startAttempt(now, group_->attempt());
        break;
    case GroupController::Progress::Refused:
        trace_.add(now, "reservation refused", failed.value());
        releaseGroup(now);
        enqueue(now, now + context_.settings.groupRetryDelay);
        break;
    case GroupController::Progress::Failed:
        trace_.add(now, "group failed", failed.value());
        context_.chooser.endpointFailed(now, failed);
        context_.actions.emplace_back(ReportEndpoint{failed, EndpointEvent::Silent});
        releaseGroup(now);
        retry(now, failed, true, "endpoint " + failed.value() + " has failed while the prompt was prepared");
        break;
    }
}

void RequestController::releaseGroup(TimePoint now)
{
    if (group_ != nullptr) {
        group_->release(now);
        group_.reset();
    }
}

bool RequestController::isLive(const AttemptId &attempt)
{
    const bool live = attempt_.has_value() && attempt_->id == attempt;
    context_.counters.foreignMessages += live ? 0 : 1;
    return live;
}

void RequestController::chunkDropped(TimePoint now, AnswerAssembler::ChunkResult result)
{
    switch (result) {
    case AnswerAssembler::ChunkResult::Repeated:
        context_.counters.repeatedChunks += 1;
        break;
    case AnswerAssembler::ChunkResult::Overlapping:
        context_.counters.overlappingChunks += 1;
        break;
    case AnswerAssembler::ChunkResult::Malformed:
        context_.counters.malformedChunks += 1;
        giveUp(now, "the endpoint has sent a malformed chunk");
        break;
    case AnswerAssembler::ChunkResult::Ahead:
        context_.counters.chunksAhead += 1;
        resumeAfterGap(now);
        break;
    case AnswerAssembler::ChunkResult::Accepted:
    case AnswerAssembler::ChunkResult::Foreign:
        break;
    }
}

void RequestController::deliver(TimePoint now, const AttemptChunk &chunk)
{
    state_ = State::Streaming;
    attempt_->silence.progressMade(now);
    if (!attempt_->firstTokenAt) {
        attempt_->firstTokenAt = now;
        context_.chooser.fleet().firstTokenArrived(attempt_->id);
        if (group_ != nullptr) {
            group_->answerBegun();
        }
        trace_.add(now, "first part of the answer");
    }
    context_.actions.emplace_back(SendToCaller{spec_->id, chunk.text, chunk.length, attempt_->status, attempt_->contentType});
}

void RequestController::advanceAttempt(TimePoint now)
{
    if (spec_->kind == RequestKind::Completion) {
        decide(now, attempt_->silence.advance(now));
    } else if (attempt_->giveUpAt && now >= *attempt_->giveUpAt && !attempt_->reached) {
        giveUp(now, "the service has not answered");
    } else if (attempt_->giveUpAt && now >= *attempt_->giveUpAt) {
        attempt_->giveUpAt.reset();
    }
}

void RequestController::decide(TimePoint now, SilenceMonitor::Decision decision)
{
    switch (decision) {
    case SilenceMonitor::Decision::Wait:
        break;
    case SilenceMonitor::Decision::Probe:
        probe(now);
        break;
    case SilenceMonitor::Decision::Resume:
        resume(now);
        break;
    case SilenceMonitor::Decision::GiveUp:
        context_.chooser.endpointFailed(now, attempt_->endpoint);
        context_.actions.emplace_back(ReportEndpoint{attempt_->endpoint, EndpointEvent::Silent});
        giveUp(now, "the endpoint has stopped answering");
        break;
    }
}

void RequestController::probe(TimePoint now)
{
    context_.counters.probes += 1;
    trace_.add(now, "attempt probed", attempt_->endpoint.value());
    context_.actions.emplace_back(ProbeAttempt{attempt_->id, attempt_->endpoint, attempt_->address});
}

void RequestController::resume(TimePoint now)
{
    context_.counters.resumes += 1;
    trace_.add(now, "attempt resumed", "from position " + std::to_string(assembler_.attemptPosition()));
    attempt_->reached = true;
    attempt_->silence.resumed(now);
    context_.actions.emplace_back(ResumeAttempt{attempt_->id, attempt_->endpoint, attempt_->address, assembler_.attemptPosition()});
}

void RequestController::resumeAfterGap(TimePoint now)
{
    if (spec_->kind == RequestKind::Service) {
        giveUp(now, "the endpoint's answer has a gap");
        return;
    }
    // A resumption that is under way brings the missing part; further chunks of the old connection are no reason for another.
    if (attempt_->gapAt == assembler_.attemptPosition()) {
        return;
    }
    attempt_->gapAt = assembler_.attemptPosition();
    decide(now, attempt_->silence.resumeOrGiveUp());
}

void RequestController::giveUp(TimePoint now, const std::string &cause)
{
    const EndpointId endpoint = attempt_->endpoint;
    runState_.attemptGivenUp();
    closeAndCancelAttempt();
    releaseGroup(now);
    retry(now, endpoint, false, cause);
}

void RequestController::reportFailure(TimePoint now, const AttemptFailed &message)
{
    trace_.add(now, "attempt failed", attempt_->endpoint.value() + ": " + message.message);
    if (message.failure == AttemptFailure::NotConnected) {
        context_.chooser.endpointFailed(now, attempt_->endpoint);
        context_.actions.emplace_back(ReportEndpoint{attempt_->endpoint, EndpointEvent::ConnectFailed});
    }
    if (message.draining) {
        context_.chooser.endpointLeaving(attempt_->endpoint);
        context_.actions.emplace_back(ReportEndpoint{attempt_->endpoint, EndpointEvent::Draining});
    }
}

void RequestController::closeAttempt()
{
    context_.chooser.fleet().attemptEnded(attempt_->id);
    context_.attempts.erase(attempt_->id);
    assembler_.endAttempt();
    attempt_.reset();
    context_.queueDue = true;
}

void RequestController::closeAndCancelAttempt()
{
    context_.actions.emplace_back(CancelAttempt{attempt_->id, attempt_->endpoint, attempt_->address});
    closeAttempt();
}

void RequestController::retry(TimePoint now, const EndpointId &failed, bool refused, const std::string &cause)
{
    failed_.push_back(failed);
    if (!isRetryAllowed()) {
        fail(now, Failures::endpointFailed(cause));
        return;
    }
    if (!context_.retries.takeRetry(now, spec_->workspace)) {
        context_.counters.retriesRefused += 1;
        fail(now, Failures::retryLimit(cause));
        return;
    }
    context_.counters.retries += 1;
    prepareContinuation();
    enqueue(now, refused ? now + context_.settings.retryDelay : now);
}

bool RequestController::isRetryAllowed() const
{
    if (!spec_->idempotent && runState_.state() != RunState::WasNotRun) {
        return false;
    }
    if (assembler_.isEmpty()) {
        return true;
    }
    // A plain service cannot continue an answer, and no endpoint can add the end marker to an answer of full length.
    return keepsText(*spec_) && (spec_->maxTokens == 0 || assembler_.length() < spec_->maxTokens);
}

void RequestController::prepareContinuation()
{
    if (assembler_.isEmpty()) {
        return;
    }
    context_.counters.continuations += 1;
    RequestSpec rest = *spec_;
    rest.promptTokens += assembler_.length();
    rest.maxTokens -= std::min(rest.maxTokens, assembler_.length());
    remaining_ = std::make_shared<const RequestSpec>(std::move(rest));
    route_.promptTokens = remaining_->promptTokens;
    route_.maxTokens = remaining_->maxTokens;
}

void RequestController::observe(TimePoint now, const AttemptEnded &end)
{
    // A group's times tell nothing about one endpoint, nor a service's about prefill and decoding.
    if (spec_->kind == RequestKind::Service || group_ != nullptr || !attempt_->firstTokenAt) {
        return;
    }
    AttemptObservation observation;
    observation.endpoint = attempt_->endpoint;
    observation.promptTokens = end.promptTokens > 0 ? end.promptTokens : remaining_->promptTokens;
    observation.cachedTokens = end.cachedTokens;
    observation.generatedTokens = assembler_.attemptPosition();
    observation.prefillTokensAhead = attempt_->prefillTokensAhead;
    observation.firstToken = *attempt_->firstTokenAt - attempt_->startedAt;
    observation.total = now - attempt_->startedAt;
    context_.chooser.policy().attemptFinished(now, observation);
}

void RequestController::succeed(TimePoint now, const AttemptEnded &end)
{
    FinishRequest action;
    action.succeeded = true;
    action.status = attempt_->status;
    action.contentType = attempt_->contentType;
    action.finishReason = end.finishReason;
    // The text of earlier attempts was part of the prompt of a continuation.
    const std::uint64_t earlier = assembler_.length() - assembler_.attemptPosition();
    action.promptTokens = end.promptTokens - std::min(end.promptTokens, earlier);
    action.cachedTokens = end.cachedTokens;
    runState_.answerWhole();
    observe(now, end);
    closeAttempt();
    context_.counters.succeeded += 1;
    trace_.add(now, "succeeded");
    finish(now, std::move(action));
}

void RequestController::fail(TimePoint now, const Failure &failure)
{
    if (attempt_) {
        runState_.attemptGivenUp();
        closeAndCancelAttempt();
    }
    FinishRequest action;
    action.status = failure.status;
    action.code = failure.code;
    action.message = failure.message;
    if (failure.retryLater) {
        action.retryAfter = std::chrono::ceil<milliseconds>(failure.retryAfter.value_or(context_.settings.retryAfter));
    }
    (runState_.state() == RunState::WasNotRun ? context_.counters.failedNotRun : context_.counters.failedUnknown) += 1;
    trace_.add(now, "failed", failure.code + ": " + failure.message);
    finish(now, std::move(action));
}

void RequestController::finish(TimePoint now, FinishRequest action)
{
    context_.queue.remove(spec_->id);
    releaseGroup(now);
    if (const std::optional<DispatchAction> settled = claim_.settle(runState_.state())) {
        context_.actions.push_back(*settled);
    }
    action.request = spec_->id;
    action.runState = runState_.state();
    action.completionTokens = assembler_.length();
    context_.actions.emplace_back(std::move(action));
    state_ = State::Done;
}

}
