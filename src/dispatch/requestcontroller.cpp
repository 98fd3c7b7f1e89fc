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

/// Returns true if another endpoint would return the same status, so a retry is pointless.
bool isFinalStatus(int status)
{
    return status < FirstServerError && status != RequestTimeout && status != TooManyRequests;
}

RouteRequest makeRouteRequest(const RequestSpec &spec, const ZoneId &zone, TimePoint arrival)
{
    return {spec.workspace, spec.promptTokens, spec.maxTokens, spec.prefixBlocks, {}, zone, spec.deadline, arrival, spec.model};
}

bool supportsContinuation(const RequestSpec &spec)
{
    return spec.idempotent && spec.kind == RequestKind::Completion;
}

}

RequestController::RequestController(DispatchContext &context, RequestSpecPtr spec, TimePoint now)
    : context_(context)
    , spec_(std::move(spec))
    , remainingSpec_(spec_)
    , routeRequest_(makeRouteRequest(*spec_, context.settings.zone, now))
    , trace_(spec_->id, spec_->workspace, now, spec_->deadline, context.settings.maxTraceEvents)
    , arrivedAt_(now)
    , earliestPlacement_(now)
    , claim_(spec_)
    , assembler_(spec_->kind, supportsContinuation(*spec_))
{
}

void RequestController::admit(TimePoint now)
{
    if (now >= spec_->deadline) {
        fail(now, Failures::deadlineExceeded());
        return;
    }
    if (spec_->kind == RequestKind::Completion) {
        context_.chooser.policy().requestArrived(now, routeRequest_);
    }
    if (const std::optional<Duration> retryAfter = context_.overloadControl.retryAfter(now, makeQueueEntry(), context_.queue)) {
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
    return state_ == State::Queued && now >= earliestPlacement_;
}

void RequestController::place(TimePoint now)
{
    EndpointChooser::Placement placement = context_.chooser.choose(now, {*remainingSpec_, routeRequest_, failedEndpoints_}, context_.actions);
    std::visit([this, now](auto &result) { applyPlacement(now, std::move(result)); }, placement);
}

void RequestController::handle(TimePoint now, const CallerDisconnected & /*message*/)
{
    fail(now, Failures::callerDisconnected());
}

void RequestController::handle(TimePoint now, const ClaimDecided &message)
{
    if (!claim_.handleVerdict(message)) {
        context_.counters.foreignMessages += 1;
        return;
    }
    switch (message.verdict) {
    case ClaimVerdict::Won:
        trace_.add(now, "claim won", message.attempt.value());
        enqueue(now, now);
        break;
    case ClaimVerdict::Lost:
        // The attempt that holds the key may still be dispatched, so WasNotRun could become false later.
        if (message.winnerState == RunState::Ran) {
            runState_.answerCompleted();
        } else {
            runState_.attemptAbandoned();
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
    if (!isCurrentAttempt(message.attempt)) {
        return;
    }
    attempt_->reachedEndpoint = true;
    attempt_->status = message.status;
    attempt_->contentType = message.contentType;
    attempt_->stallDetector.recordProgress(now);
    state_ = State::Streaming;
}

void RequestController::handle(TimePoint now, const AttemptChunk &message)
{
    if (!isCurrentAttempt(message.attempt)) {
        return;
    }
    attempt_->reachedEndpoint = true;
    const AnswerAssembler::ChunkResult result = assembler_.addChunk(message);
    if (result == AnswerAssembler::ChunkResult::Accepted) {
        forwardChunk(now, message);
    } else {
        handleDroppedChunk(now, result);
    }
}

void RequestController::handle(TimePoint now, const AttemptEnded &message)
{
    if (!isCurrentAttempt(message.attempt)) {
        return;
    }
    attempt_->reachedEndpoint = true;
    switch (assembler_.addEnd(message)) {
    case AnswerAssembler::EndResult::Complete:
        succeed(now, message);
        break;
    case AnswerAssembler::EndResult::Incomplete:
        resumeAfterGap(now);
        break;
    case AnswerAssembler::EndResult::Inconsistent:
        fail(now, Failures::answerInconsistent());
        break;
    case AnswerAssembler::EndResult::OtherAttempt:
        break;
    }
}

void RequestController::handle(TimePoint now, const AttemptFailed &message)
{
    if (!isCurrentAttempt(message.attempt)) {
        return;
    }
    reportFailure(now, message);
    const std::string cause = message.message.empty() ? "the endpoint has failed" : message.message;
    const bool canResume = message.failure == AttemptFailure::Broken && spec_->kind == RequestKind::Completion;
    const bool notRun = message.failure == AttemptFailure::NotConnected || message.failure == AttemptFailure::RefusedNotRun;
    if (canResume) {
        attempt_->reachedEndpoint = true;
        attempt_->stallDetector.handleConnectionLoss(now);
        probeAttempt(now);
    } else if (notRun && !attempt_->reachedEndpoint) {
        const EndpointId endpoint = attempt_->endpoint;
        runState_.attemptNotRun();
        closeAttempt();
        releaseGroup(now);
        retry(now, endpoint, true, cause);
    } else if (message.failure == AttemptFailure::Rejected && !attempt_->reachedEndpoint && isFinalStatus(message.status)) {
        fail(now, Failures::rejected(message.status, message.message));
    } else {
        abandonAttempt(now, cause);
    }
}

void RequestController::handle(TimePoint now, const AttemptProbed &message)
{
    if (!isCurrentAttempt(message.attempt)) {
        return;
    }
    const bool known = message.state != EngineRequestState::NotKnown && message.state != EngineRequestState::NoAnswer;
    attempt_->reachedEndpoint = attempt_->reachedEndpoint || known;
    applyDecision(now, attempt_->stallDetector.handleProbeResult(now, message, assembler_.attemptPosition()));
}

void RequestController::handle(TimePoint now, const AllocationAnswered &message)
{
    if (state_ == State::Reserving && group_ != nullptr) {
        handleGroupProgress(now, group_->allocationAnswered(now, message));
    }
}

void RequestController::handle(TimePoint now, const PrefillAnswered &message)
{
    if (state_ == State::Reserving && group_ != nullptr) {
        handleGroupProgress(now, group_->prefillAnswered(now, message));
    }
}

void RequestController::handle(TimePoint now, const EndpointProbed &message)
{
    if (state_ == State::Reserving && group_ != nullptr) {
        handleGroupProgress(now, group_->endpointProbed(now, message));
    }
}

void RequestController::advance(TimePoint now)
{
    if (now >= spec_->deadline) {
        fail(now, Failures::deadlineExceeded());
        return;
    }
    if (state_ == State::Queued && now >= earliestPlacement_) {
        earliestPlacement_ = arrivedAt_;
        context_.placementPending = true;
    } else if (state_ == State::Reserving && now >= group_->nextDue()) {
        handleGroupProgress(now, group_->advance(now));
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
    if (state_ == State::Queued && earliestPlacement_ > arrivedAt_) {
        due = std::min(due, earliestPlacement_);
    } else if (state_ == State::Reserving) {
        due = std::min(due, group_->nextDue());
    } else if (attempt_ && spec_->kind == RequestKind::Completion) {
        due = std::min(due, attempt_->stallDetector.nextDue());
    } else if (attempt_ && attempt_->timeoutAt) {
        due = std::min(due, *attempt_->timeoutAt);
    }
    return due;
}

bool RequestController::isDone() const
{
    return state_ == State::Done;
}

bool RequestController::hasFailedEndpoints() const
{
    return !failedEndpoints_.empty();
}

const RequestSpec &RequestController::spec() const
{
    return *remainingSpec_;
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

void RequestController::enqueue(TimePoint now, TimePoint earliestPlacement)
{
    state_ = State::Queued;
    earliestPlacement_ = earliestPlacement;
    if (!context_.queue.push(makeQueueEntry())) {
        fail(now, Failures::overloaded());
        return;
    }
    context_.placementPending = true;
}

QueueEntry RequestController::makeQueueEntry() const
{
    return {spec_->id, spec_->workspace, spec_->priority, remainingSpec_->promptTokens, arrivedAt_, spec_->deadline};
}

void RequestController::requestClaim(TimePoint now)
{
    context_.queue.remove(spec_->id);
    state_ = State::Claiming;
    const AttemptId attempt = context_.identifiers.nextAttempt();
    trace_.add(now, "claim asked", attempt.value());
    context_.actions.emplace_back(claim_.request(attempt));
}

void RequestController::applyPlacement(TimePoint now, const RouteChoice &choice)
{
    if (choice.expectedTotal > spec_->deadline - now) {
        fail(now, Failures::cannotFinishInTime());
        return;
    }
    if (!claim_.isSatisfied()) {
        requestClaim(now);
        return;
    }
    context_.queue.remove(spec_->id);
    const Endpoint *endpoint = context_.chooser.fleet().endpoint(choice.endpoint);
    startAttempt(now, {{}, choice.endpoint, endpoint->address, remainingSpec_, {}, {}, {}, 0});
}

void RequestController::applyPlacement(TimePoint now, GroupPlan plan)
{
    if (!claim_.isSatisfied()) {
        requestClaim(now);
        return;
    }
    context_.queue.remove(spec_->id);
    state_ = State::Reserving;
    trace_.add(now, "reserving a group", plan.zone.value() + ", " + std::to_string(plan.parts.size()) + " endpoints");
    group_ = std::make_unique<GroupController>(context_, remainingSpec_, std::move(plan));
    group_->start(now);
}

void RequestController::applyPlacement(TimePoint now, NotPlaced reason)
{
    switch (reason) {
    case NotPlaced::Wait:
        if (!waitRecorded_) {
            trace_.add(now, "waiting for an endpoint");
            waitRecorded_ = true;
        }
        break;
    case NotPlaced::NoEndpoint:
        fail(now, Failures::noEndpoint());
        break;
    case NotPlaced::PromptTooLong:
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
    CurrentAttempt attempt{start.attempt, start.endpoint, start.address, StallDetector(context_.settings, now)};
    attempt.startedAt = now;
    attempt.prefillTokensAhead = fleet.inFlight(start.endpoint).prefillTokens;
    attempt_ = std::move(attempt);
    if (spec_->kind == RequestKind::Service && spec_->idempotent) {
        // Reserves half of the remaining time for a retry on another endpoint. A plain service cannot be probed for the state of a call.
        attempt_->timeoutAt = now + (spec_->deadline - now) / 2;
    }
    assembler_.beginAttempt(start.attempt);
    runState_.attemptStarted();
    context_.attempts[start.attempt] = spec_->id;
    context_.counters.attempts += 1;
    context_.retryBudget.requestDispatched(now, spec_->workspace);
    context_.overloadControl.dispatched(now, remainingSpec_->promptTokens);
    if (group_ == nullptr) {
        fleet.attemptStarted(start.attempt, start.endpoint, remainingSpec_->promptTokens, remainingSpec_->maxTokens);
        if (spec_->kind == RequestKind::Completion) {
            context_.chooser.policy().attemptStarted(now, routeRequest_, start.endpoint);
        }
    }
    trace_.add(now, "attempt started", start.attempt.value() + " on " + start.endpoint.value());
    context_.actions.emplace_back(std::move(start));
}

void RequestController::handleGroupProgress(TimePoint now, GroupController::Progress progress)
{
    const EndpointId failed = group_->failedEndpoint();
    switch (progress) {
    case GroupController::Progress::Waiting:
        break;
    case GroupController::Progress::Ready:
        startAttempt(now, group_->makeStartAttempt());
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

bool RequestController::isCurrentAttempt(const AttemptId &attempt)
{
    const bool live = attempt_.has_value() && attempt_->id == attempt;
    context_.counters.foreignMessages += live ? 0 : 1;
    return live;
}

void RequestController::handleDroppedChunk(TimePoint now, AnswerAssembler::ChunkResult result)
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
        abandonAttempt(now, "the endpoint has sent a malformed chunk");
        break;
    case AnswerAssembler::ChunkResult::Gap:
        context_.counters.chunksAhead += 1;
        resumeAfterGap(now);
        break;
    case AnswerAssembler::ChunkResult::Accepted:
    case AnswerAssembler::ChunkResult::OtherAttempt:
        break;
    }
}

void RequestController::forwardChunk(TimePoint now, const AttemptChunk &chunk)
{
    state_ = State::Streaming;
    attempt_->stallDetector.recordProgress(now);
    if (!attempt_->firstTokenAt) {
        attempt_->firstTokenAt = now;
        context_.chooser.fleet().firstTokenArrived(attempt_->id);
        if (group_ != nullptr) {
            group_->firstTokenReceived();
        }
        trace_.add(now, "first part of the answer");
    }
    context_.actions.emplace_back(SendToCaller{spec_->id, chunk.text, chunk.length, attempt_->status, attempt_->contentType});
}

void RequestController::advanceAttempt(TimePoint now)
{
    if (spec_->kind == RequestKind::Completion) {
        applyDecision(now, attempt_->stallDetector.advance(now));
    } else if (attempt_->timeoutAt && now >= *attempt_->timeoutAt && !attempt_->reachedEndpoint) {
        abandonAttempt(now, "the service has not answered");
    } else if (attempt_->timeoutAt && now >= *attempt_->timeoutAt) {
        attempt_->timeoutAt.reset();
    }
}

void RequestController::applyDecision(TimePoint now, StallDetector::Decision decision)
{
    switch (decision) {
    case StallDetector::Decision::Wait:
        break;
    case StallDetector::Decision::Probe:
        probeAttempt(now);
        break;
    case StallDetector::Decision::Resume:
        resumeAttempt(now);
        break;
    case StallDetector::Decision::GiveUp:
        context_.chooser.endpointFailed(now, attempt_->endpoint);
        context_.actions.emplace_back(ReportEndpoint{attempt_->endpoint, EndpointEvent::Silent});
        abandonAttempt(now, "the endpoint has stopped answering");
        break;
    }
}

void RequestController::probeAttempt(TimePoint now)
{
    context_.counters.probes += 1;
    trace_.add(now, "attempt probed", attempt_->endpoint.value());
    context_.actions.emplace_back(ProbeAttempt{attempt_->id, attempt_->endpoint, attempt_->address});
}

void RequestController::resumeAttempt(TimePoint now)
{
    context_.counters.resumes += 1;
    trace_.add(now, "attempt resumed", "from position " + std::to_string(assembler_.attemptPosition()));
    attempt_->reachedEndpoint = true;
    attempt_->stallDetector.recordResumption(now);
    context_.actions.emplace_back(ResumeAttempt{attempt_->id, attempt_->endpoint, attempt_->address, assembler_.attemptPosition()});
}

void RequestController::resumeAfterGap(TimePoint now)
{
    if (spec_->kind == RequestKind::Service) {
        abandonAttempt(now, "the endpoint's answer has a gap");
        return;
    }
    // A resumption from this position is already in progress and will deliver the missing part. Late chunks do not trigger another one.
    if (attempt_->resumedGapPosition == assembler_.attemptPosition()) {
        return;
    }
    attempt_->resumedGapPosition = assembler_.attemptPosition();
    applyDecision(now, attempt_->stallDetector.resumeOrGiveUp());
}

void RequestController::abandonAttempt(TimePoint now, const std::string &cause)
{
    const EndpointId endpoint = attempt_->endpoint;
    runState_.attemptAbandoned();
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
    context_.placementPending = true;
}

void RequestController::closeAndCancelAttempt()
{
    context_.actions.emplace_back(CancelAttempt{attempt_->id, attempt_->endpoint, attempt_->address});
    closeAttempt();
}

void RequestController::retry(TimePoint now, const EndpointId &failedEndpoint, bool delayed, const std::string &cause)
{
    failedEndpoints_.push_back(failedEndpoint);
    if (!isRetryAllowed()) {
        fail(now, Failures::endpointFailed(cause));
        return;
    }
    if (!context_.retryBudget.tryWithdraw(now, spec_->workspace)) {
        context_.counters.retriesRefused += 1;
        fail(now, Failures::retryLimit(cause));
        return;
    }
    context_.counters.retries += 1;
    prepareContinuation();
    enqueue(now, delayed ? now + context_.settings.retryDelay : now);
}

bool RequestController::isRetryAllowed() const
{
    if (!spec_->idempotent && runState_.state() != RunState::WasNotRun) {
        return false;
    }
    if (assembler_.isEmpty()) {
        return true;
    }
    // A plain service cannot continue an answer. An answer of maxTokens length cannot be continued either: no endpoint would send its end marker.
    return supportsContinuation(*spec_) && (spec_->maxTokens == 0 || assembler_.length() < spec_->maxTokens);
}

void RequestController::prepareContinuation()
{
    if (assembler_.isEmpty()) {
        return;
    }
    context_.counters.continuations += 1;
    RequestSpec continuationSpec = *spec_;
    continuationSpec.promptTokens += assembler_.length();
    continuationSpec.maxTokens -= std::min(continuationSpec.maxTokens, assembler_.length());
    remainingSpec_ = std::make_shared<const RequestSpec>(std::move(continuationSpec));
    routeRequest_.promptTokens = remainingSpec_->promptTokens;
    routeRequest_.maxTokens = remainingSpec_->maxTokens;
}

void RequestController::reportObservation(TimePoint now, const AttemptEnded &end)
{
    // Timings of a group do not describe a single endpoint, and timings of a service do not describe prefill and decoding.
    if (spec_->kind == RequestKind::Service || group_ != nullptr || !attempt_->firstTokenAt) {
        return;
    }
    AttemptObservation observation;
    observation.endpoint = attempt_->endpoint;
    observation.promptTokens = end.promptTokens > 0 ? end.promptTokens : remainingSpec_->promptTokens;
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
    // A continuation's prompt contains the text of earlier attempts, which does not count as prompt tokens of the request.
    const std::uint64_t earlierTokens = assembler_.length() - assembler_.attemptPosition();
    action.promptTokens = end.promptTokens - std::min(end.promptTokens, earlierTokens);
    action.cachedTokens = end.cachedTokens;
    runState_.answerCompleted();
    reportObservation(now, end);
    closeAttempt();
    context_.counters.succeeded += 1;
    trace_.add(now, "succeeded");
    finish(now, std::move(action));
}

void RequestController::fail(TimePoint now, const Failure &failure)
{
    if (attempt_) {
        runState_.attemptAbandoned();
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
