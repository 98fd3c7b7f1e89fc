#include "dispatch/dispatchersimulation.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Lentillock
{

namespace
{

constexpr std::uint64_t AnswerTokens = 6;
constexpr std::int64_t EngineMemoryTokens = 1000;
constexpr std::uint64_t OversizedPromptTokens = 2500;
constexpr Duration MaxFinishDelay = 250ms; // Invariant 1: a request finishes at most this long after its deadline.

DispatcherSettings makeSettings()
{
    DispatcherSettings settings;
    settings.vm = VmId("vm1");
    settings.zone = ZoneId("z1");
    // High enough that the retry budget does not limit the simulation.
    settings.minWorkspaceRetries = 50;
    settings.minFleetRetries = 100;
    return settings;
}

}

DispatcherSimulation::DispatcherSimulation()
    : dispatcher_(std::make_unique<Dispatcher>(makeSettings(), std::make_unique<LeastOutstandingPolicy>()))
{
    for (const char *name : {"e1", "e2", "e3", "e4"}) {
        Endpoint endpoint;
        endpoint.id = EndpointId(name);
        endpoint.zone = ZoneId("z1");
        endpoint.model = ModelId("m");
        endpoint.memoryTokens = EngineMemoryTokens;
        document_->endpoints.push_back(endpoint);
    }
    sendView();
}

void DispatcherSimulation::step(std::uint32_t choice)
{
    const std::uint32_t argument = choice / 32;
    switch (choice % 32) {
    case 0:
    case 1:
    case 2:
        sendRequest(argument);
        break;
    case 3:
    case 4:
        sendChunk(argument, false);
        break;
    case 5:
    case 6:
    case 7:
    case 8:
    case 9:
    case 10:
    case 11:
        sendChunk(argument, true);
        break;
    case 12:
    case 13:
        sendEnd(argument);
        break;
    case 14:
    case 15:
        sendFailure(argument);
        break;
    case 16:
        sendProbeAnswer(argument);
        break;
    case 17:
    case 18:
    case 19:
        sendVerdict(argument);
        break;
    case 20:
    case 21:
    case 22:
    case 23:
    case 24:
    case 25:
        sendAllocationAnswer(argument);
        break;
    case 26:
        sendEndpointAnswer(argument);
        break;
    case 27:
        sendView();
        break;
    case 28:
        send(AttemptChunk{AttemptId("vm2-0-" + std::to_string(argument % 8)), 0, 1, "foreign "});
        break;
    case 29:
        if (argument % 8 == 0 && !requests_.empty()) {
            send(CallerDisconnected{std::next(requests_.begin(), static_cast<std::ptrdiff_t>(argument / 8 % requests_.size()))->first});
        }
        break;
    case 30:
        // Simulates a pause of the process: the next message arrives before any timer that has expired in the meantime.
        now_ += milliseconds(argument % 1500);
        pauseEndedAt_ = now_;
        break;
    default:
        advanceTime(milliseconds(argument % 700));
        break;
    }
}

std::vector<std::string> DispatcherSimulation::finish()
{
    advanceTime(20s);
    for (const auto &[id, request] : requests_) {
        checkOutcome(request);
    }
    for (const auto &[id, allocation] : allocations_) {
        require(!allocation.heldByEngine, "allocation " + id.value() + " was not released");
    }
    require(dispatcher_->isIdle(), "the dispatcher still has active requests");
    return violations_;
}

void DispatcherSimulation::sendRequest(std::uint32_t argument)
{
    auto spec = std::make_shared<RequestSpec>();
    spec->id = RequestId("r" + std::to_string(requests_.size()));
    spec->workspace = WorkspaceId("w");
    spec->model = ModelId("m");
    spec->idempotent = argument % 2 == 0;
    // Each key is shared by two requests.
    spec->idempotencyKey = spec->idempotent ? "" : "k" + std::to_string(requests_.size() / 2);
    spec->promptTokens = argument / 2 % 3 == 0 ? OversizedPromptTokens : 100;
    spec->maxTokens = AnswerTokens;
    spec->prompt = std::make_shared<const std::string>(spec->promptTokens, 'x');
    spec->deadline = now_ + milliseconds(200 + argument % 4000);
    requests_[spec->id].spec = spec;
    send(RequestArrived{spec});
}

void DispatcherSimulation::sendChunk(std::uint32_t argument, bool inOrder)
{
    Attempt *attempt = pickAttempt(argument);
    if (attempt == nullptr || attempt->executionState == ExecutionState::NotRun) {
        return;
    }
    attempt->executionState = ExecutionState::Ran;
    const std::uint64_t total = attempt->start.spec->maxTokens;
    const std::uint64_t position = inOrder ? attempt->nextPosition : argument / 8 % (total + 1);
    const std::uint64_t length = std::min<std::uint64_t>(total - std::min(total, position), 1 + argument / 64 % 2);
    attempt->nextPosition = inOrder ? position + length : attempt->nextPosition;
    const std::uint64_t begin = attempt->firstToken + position;
    const AttemptChunk chunk{attempt->start.attempt, position, length, expectedText(*attempt->start.spec, begin, begin + length)};
    send(chunk);
    if (argument % 5 == 0) {
        send(chunk);
    }
}

void DispatcherSimulation::sendEnd(std::uint32_t argument)
{
    Attempt *attempt = pickAttempt(argument);
    if (attempt != nullptr && attempt->executionState == ExecutionState::Ran) {
        send(AttemptEnded{attempt->start.attempt, attempt->start.spec->maxTokens, "stop", 0, 0});
    }
}

void DispatcherSimulation::sendFailure(std::uint32_t argument)
{
    Attempt *attempt = pickAttempt(argument);
    if (attempt == nullptr) {
        return;
    }
    const AttemptId id = attempt->start.attempt;
    if (attempt->executionState == ExecutionState::Ran) {
        // The connection of a resumption can be refused even though the attempt ran.
        send(AttemptFailed{id, argument / 8 % 2 == 0 ? AttemptFailure::Broken : AttemptFailure::NotConnected, 0, "lost"});
    } else {
        attempt->executionState = ExecutionState::NotRun;
        send(AttemptFailed{id, argument / 8 % 2 == 0 ? AttemptFailure::NotConnected : AttemptFailure::RefusedNotRun, 0, "refused"});
    }
}

void DispatcherSimulation::sendProbeAnswer(std::uint32_t argument)
{
    Attempt *attempt = pickAttempt(argument);
    if (attempt == nullptr) {
        return;
    }
    AttemptProbed answer{attempt->start.attempt, EngineRequestState::NoAnswer, 0};
    if (attempt->executionState == ExecutionState::Ran && argument / 8 % 4 != 0) {
        const bool finished = attempt->nextPosition >= attempt->start.spec->maxTokens;
        answer.state = finished ? EngineRequestState::Finished : EngineRequestState::Running;
        answer.position = attempt->nextPosition;
        // The dispatcher may request a resumption from any position up to this one, so the next chunk's position is chosen anew.
        attempt->nextPosition = argument / 32 % (attempt->nextPosition + 1);
    }
    send(answer);
}

void DispatcherSimulation::sendVerdict(std::uint32_t argument)
{
    if (pendingClaims_.empty()) {
        return;
    }
    const RequestClaim claim = pendingClaims_[argument % pendingClaims_.size()];
    const AttemptId keyHolder = keyHolders_.try_emplace(claim.key, claim.attempt).first->second;
    const ClaimVerdict verdict = keyHolder == claim.attempt ? ClaimVerdict::Won : ClaimVerdict::Lost;
    requests_.at(claim.request).claimWon = requests_.at(claim.request).claimWon || verdict == ClaimVerdict::Won;
    send(ClaimDecided{claim.request, claim.attempt, verdict, RunState::WasNotRun, {}});
}

void DispatcherSimulation::sendAllocationAnswer(std::uint32_t argument)
{
    if (!prefills_.empty() && argument % 2 == 0) {
        send(PrefillAnswered{prefills_[argument / 2 % prefills_.size()], argument / 16 % 8 != 0});
        return;
    }
    if (allocations_.empty()) {
        return;
    }
    Allocation &allocation = std::next(allocations_.begin(), static_cast<std::ptrdiff_t>(argument / 2 % allocations_.size()))->second;
    if (!allocation.granted) {
        allocation.granted = argument / 16 % 8 != 0;
        // The endpoint can grant a reservation even after its release. From 5 s after the deadline, the reclaimer releases it.
        allocation.heldByEngine = *allocation.granted && now_ < allocation.reservation.deadline + 5s;
    }
    send(AllocationAnswered{allocation.reservation.allocation, *allocation.granted});
}

void DispatcherSimulation::sendEndpointAnswer(std::uint32_t argument)
{
    const Endpoint &endpoint = document_->endpoints[argument % document_->endpoints.size()];
    EndpointProbed answer{endpoint.id, std::nullopt};
    if (argument / 8 % 4 != 0) {
        answer.load = LoadReport{"1", false, {}, EngineMemoryTokens, EngineMemoryTokens, 0, 0, now_};
    }
    send(answer);
}

void DispatcherSimulation::sendView()
{
    auto view = std::make_shared<ServingView>();
    view->document = document_;
    view->receivedAt = now_;
    for (const Endpoint &endpoint : document_->endpoints) {
        view->endpoints[endpoint.id] = {endpoint.id, EndpointHealth::Live, std::nullopt, now_};
    }
    send(ViewChanged{view});
}

void DispatcherSimulation::advanceTime(Duration duration)
{
    const TimePoint end = now_ + duration;
    execute(dispatcher_->advance(now_));
    while (dispatcher_->nextDue() && *dispatcher_->nextDue() <= end) {
        now_ = std::max(now_ + 1ms, *dispatcher_->nextDue());
        execute(dispatcher_->advance(now_));
    }
    now_ = std::max(now_, end);
}

void DispatcherSimulation::send(const DispatchInput &input)
{
    execute(dispatcher_->handle(now_, input));
}

void DispatcherSimulation::execute(const std::vector<DispatchAction> &actions)
{
    for (const DispatchAction &action : actions) {
        std::visit([this](const auto &value) { execute(value); }, action);
    }
}

void DispatcherSimulation::execute(const StartAttempt &action)
{
    const Request &request = requests_.at(action.spec->id);
    require(startedAttempts_.insert(action.attempt).second, "attempt " + action.attempt.value() + " was started twice");
    require(request.finishes.empty(), action.spec->id.value() + " was dispatched after its end");
    require(now_ < request.spec->deadline, action.spec->id.value() + " was dispatched after its deadline");
    const bool mayHaveRun = std::any_of(attempts_.begin(), attempts_.end(), [&](const Attempt &earlier) {
        return earlier.start.spec->id == action.spec->id && earlier.executionState != ExecutionState::NotRun;
    });
    require(request.spec->idempotent || (request.claimWon && !mayHaveRun), action.spec->id.value() + " was dispatched twice or without a claim");
    if (action.allocation) {
        const auto allocation = allocations_.find(*action.allocation);
        require(allocation != allocations_.end() && allocation->second.releases == 0, "an attempt uses released memory");
    }
    const auto sent = static_cast<std::uint64_t>(std::count(action.continuation.begin(), action.continuation.end(), ' '));
    require(action.continuation == request.sent || !request.spec->idempotent, "the continuation differs from the text sent to the caller");
    attempts_.push_back({action, ExecutionState::Pending, sent, 0});
}

void DispatcherSimulation::execute(const RequestClaim &action)
{
    pendingClaims_.push_back(action);
    claimRequests_[action.attempt] = action.request;
    requests_.at(action.request).claimsRequested += 1;
}

void DispatcherSimulation::execute(const ReleaseClaim &action)
{
    requests_.at(claimRequests_.at(action.attempt)).claimsSettled += 1;
    // A released attempt no longer holds its key. If its claim was never decided, it will not be decided later either.
    if (const auto keyHolder = keyHolders_.find(action.key); keyHolder != keyHolders_.end() && keyHolder->second == action.attempt) {
        keyHolders_.erase(keyHolder);
    }
    std::erase_if(pendingClaims_, [&action](const RequestClaim &claim) { return claim.attempt == action.attempt; });
}

void DispatcherSimulation::execute(const RecordOutcome &action)
{
    requests_.at(claimRequests_.at(action.attempt)).claimsSettled += 1;
}

void DispatcherSimulation::execute(const ReserveAllocation &action)
{
    require(requests_.at(action.request).finishes.empty(), action.request.value() + " reserved memory after its end");
    for (const auto &[id, earlier] : allocations_) {
        const bool isSameGroup = earlier.reservation.request == action.request && earlier.releases == 0;
        require(!isSameGroup || earlier.reservation.endpoint < action.endpoint, "memory was not reserved in ascending order of endpoints");
    }
    allocations_[action.allocation].reservation = action;
}

void DispatcherSimulation::execute(const ReleaseAllocation &action)
{
    Allocation &allocation = allocations_.at(action.allocation);
    allocation.releases += 1;
    allocation.heldByEngine = false;
}

void DispatcherSimulation::execute(const PrefillPart &action)
{
    prefills_.push_back(action.allocation);
}

void DispatcherSimulation::execute(const SendToCaller &action)
{
    Request &request = requests_.at(action.request);
    require(request.finishes.empty(), action.request.value() + " received part of its answer after its end");
    request.sent += action.text;
}

void DispatcherSimulation::execute(const FinishRequest &action)
{
    Request &request = requests_.at(action.request);
    request.finishes.push_back(action);
    request.finishedLate = now_ > request.spec->deadline + MaxFinishDelay && now_ != pauseEndedAt_;
    for (const auto &[id, allocation] : allocations_) {
        require(allocation.reservation.request != action.request || allocation.releases > 0,
                "allocation " + id.value() + " was not released before its request finished");
    }
}

void DispatcherSimulation::checkOutcome(const Request &request)
{
    const std::string &name = request.spec->id.value();
    require(request.finishes.size() == 1, name + " finished " + std::to_string(request.finishes.size()) + " times");
    if (request.finishes.empty()) {
        return;
    }
    const FinishRequest &finish = request.finishes.front();
    require(!request.finishedLate, name + " finished too long after its deadline");
    const std::string expected = expectedText(*request.spec, 0, AnswerTokens);
    require(expected.starts_with(request.sent), name + " received incorrect text: " + request.sent);
    require(!finish.succeeded || request.sent == expected, name + " succeeded with an incomplete answer");
    const bool mayHaveRun = std::any_of(attempts_.begin(), attempts_.end(), [&](const Attempt &attempt) {
        return attempt.start.spec->id == request.spec->id && attempt.executionState != ExecutionState::NotRun;
    });
    require(finish.runState != RunState::WasNotRun || !mayHaveRun, name + " was reported as not run, but may have run");
    require(request.claimsRequested == request.claimsSettled, name + " did not settle its claim");
    require(request.spec->idempotent || request.claimsRequested <= 1, name + " requested more than one claim");
}

void DispatcherSimulation::require(bool condition, const std::string &message)
{
    if (!condition) {
        violations_.push_back(message);
    }
}

DispatcherSimulation::Attempt *DispatcherSimulation::pickAttempt(std::uint32_t argument)
{
    if (attempts_.empty()) {
        return nullptr;
    }
    // Prefers the two most recent attempts, so that answers make progress. Earlier attempts simulate late messages.
    const std::size_t back = argument % 8 < 6 ? argument % 2 : argument / 8 % attempts_.size();
    return &attempts_[attempts_.size() - 1 - std::min(back, attempts_.size() - 1)];
}

std::string DispatcherSimulation::expectedText(const RequestSpec &spec, std::uint64_t begin, std::uint64_t end)
{
    std::string text;
    for (std::uint64_t token = begin; token < end; ++token) {
        text += spec.id.value() + "." + std::to_string(token) + " ";
    }
    return text;
}

}
