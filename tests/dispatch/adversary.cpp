#include "dispatch/adversary.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Lentillock
{

namespace
{

constexpr std::uint64_t AnswerTokens = 6;
constexpr std::int64_t EngineMemory = 1000;
constexpr std::uint64_t LongPrompt = 2500;
constexpr Duration AnswerLimit = 250ms; // Invariant 1.

DispatcherSettings makeSettings()
{
    DispatcherSettings settings;
    settings.vm = VmId("vm1");
    settings.zone = ZoneId("z1");
    // Retries are not to be the limit here.
    settings.minWorkspaceRetries = 50;
    settings.minFleetRetries = 100;
    return settings;
}

}

Adversary::Adversary()
    : dispatcher_(std::make_unique<Dispatcher>(makeSettings(), std::make_unique<LeastOutstandingPolicy>()))
{
    for (const char *name : {"e1", "e2", "e3", "e4"}) {
        Endpoint endpoint;
        endpoint.id = EndpointId(name);
        endpoint.zone = ZoneId("z1");
        endpoint.model = ModelId("m");
        endpoint.memoryTokens = EngineMemory;
        document_->endpoints.push_back(endpoint);
    }
    sendView();
}

void Adversary::step(std::uint32_t choice)
{
    const std::uint32_t argument = choice / 32;
    switch (choice % 32) {
    case 0:
    case 1:
    case 2:
        arrive(argument);
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
        give(AttemptChunk{AttemptId("vm2-0-" + std::to_string(argument % 8)), 0, 1, "foreign "});
        break;
    case 29:
        if (argument % 8 == 0 && !requests_.empty()) {
            give(CallerDisconnected{std::next(requests_.begin(), static_cast<std::ptrdiff_t>(argument / 8 % requests_.size()))->first});
        }
        break;
    case 30:
        // The process is paused: the next message is handled before anything that has become due.
        now_ += milliseconds(argument % 1500);
        resumedAt_ = now_;
        break;
    default:
        passTime(milliseconds(argument % 700));
        break;
    }
}

std::vector<std::string> Adversary::finish()
{
    passTime(20s);
    for (const auto &[id, request] : requests_) {
        checkEnd(request);
    }
    for (const auto &[id, allocation] : allocations_) {
        require(!allocation.heldByEngine, "allocation " + id.value() + " is still held");
    }
    require(dispatcher_->isIdle(), "the dispatcher still has requests");
    return problems_;
}

void Adversary::arrive(std::uint32_t argument)
{
    auto spec = std::make_shared<RequestSpec>();
    spec->id = RequestId("r" + std::to_string(requests_.size()));
    spec->workspace = WorkspaceId("w");
    spec->model = ModelId("m");
    spec->idempotent = argument % 2 == 0;
    // Two requests share each key.
    spec->idempotencyKey = spec->idempotent ? "" : "k" + std::to_string(requests_.size() / 2);
    spec->promptTokens = argument / 2 % 3 == 0 ? LongPrompt : 100;
    spec->maxTokens = AnswerTokens;
    spec->prompt = std::make_shared<const std::string>(spec->promptTokens, 'x');
    spec->deadline = now_ + milliseconds(200 + argument % 4000);
    requests_[spec->id].spec = spec;
    give(RequestArrived{spec});
}

void Adversary::sendChunk(std::uint32_t argument, bool inOrder)
{
    Attempt *attempt = pickAttempt(argument);
    if (attempt == nullptr || attempt->fate == Fate::NotRun) {
        return;
    }
    attempt->fate = Fate::Ran;
    const std::uint64_t total = attempt->start.spec->maxTokens;
    const std::uint64_t position = inOrder ? attempt->next : argument / 8 % (total + 1);
    const std::uint64_t length = std::min<std::uint64_t>(total - std::min(total, position), 1 + argument / 64 % 2);
    attempt->next = inOrder ? position + length : attempt->next;
    const std::uint64_t begin = attempt->firstToken + position;
    const AttemptChunk chunk{attempt->start.attempt, position, length, rightText(*attempt->start.spec, begin, begin + length)};
    give(chunk);
    if (argument % 5 == 0) {
        give(chunk);
    }
}

void Adversary::sendEnd(std::uint32_t argument)
{
    Attempt *attempt = pickAttempt(argument);
    if (attempt != nullptr && attempt->fate == Fate::Ran) {
        give(AttemptEnded{attempt->start.attempt, attempt->start.spec->maxTokens, "stop", 0, 0});
    }
}

void Adversary::sendFailure(std::uint32_t argument)
{
    Attempt *attempt = pickAttempt(argument);
    if (attempt == nullptr) {
        return;
    }
    const AttemptId id = attempt->start.attempt;
    if (attempt->fate == Fate::Ran) {
        // The connection of a resumption can be refused although the attempt has run.
        give(AttemptFailed{id, argument / 8 % 2 == 0 ? AttemptFailure::Broken : AttemptFailure::NotConnected, 0, "lost"});
    } else {
        attempt->fate = Fate::NotRun;
        give(AttemptFailed{id, argument / 8 % 2 == 0 ? AttemptFailure::NotConnected : AttemptFailure::RefusedNotRun, 0, "refused"});
    }
}

void Adversary::sendProbeAnswer(std::uint32_t argument)
{
    Attempt *attempt = pickAttempt(argument);
    if (attempt == nullptr) {
        return;
    }
    AttemptProbed answer{attempt->start.attempt, EngineRequestState::NoAnswer, 0};
    if (attempt->fate == Fate::Ran && argument / 8 % 4 != 0) {
        const bool finished = attempt->next >= attempt->start.spec->maxTokens;
        answer.state = finished ? EngineRequestState::Finished : EngineRequestState::Running;
        answer.position = attempt->next;
        // A resumption starts wherever the dispatcher asks; the position of the next chunk is chosen anew.
        attempt->next = argument / 32 % (attempt->next + 1);
    }
    give(answer);
}

void Adversary::sendVerdict(std::uint32_t argument)
{
    if (claims_.empty()) {
        return;
    }
    const RequestClaim ask = claims_[argument % claims_.size()];
    const AttemptId holder = holders_.try_emplace(ask.key, ask.attempt).first->second;
    const ClaimVerdict verdict = holder == ask.attempt ? ClaimVerdict::Won : ClaimVerdict::Lost;
    requests_.at(ask.request).won = requests_.at(ask.request).won || verdict == ClaimVerdict::Won;
    give(ClaimDecided{ask.request, ask.attempt, verdict, RunState::WasNotRun, {}});
}

void Adversary::sendAllocationAnswer(std::uint32_t argument)
{
    if (!prefills_.empty() && argument % 2 == 0) {
        give(PrefillAnswered{prefills_[argument / 2 % prefills_.size()], argument / 16 % 8 != 0});
        return;
    }
    if (allocations_.empty()) {
        return;
    }
    Allocation &allocation = std::next(allocations_.begin(), static_cast<std::ptrdiff_t>(argument / 2 % allocations_.size()))->second;
    if (!allocation.granted) {
        allocation.granted = argument / 16 % 8 != 0;
        // Also when the release has overtaken the reservation. From 5 s after the deadline on the reclaimer releases it.
        allocation.heldByEngine = *allocation.granted && now_ < allocation.reserve.deadline + 5s;
    }
    give(AllocationAnswered{allocation.reserve.allocation, *allocation.granted});
}

void Adversary::sendEndpointAnswer(std::uint32_t argument)
{
    const Endpoint &endpoint = document_->endpoints[argument % document_->endpoints.size()];
    EndpointProbed answer{endpoint.id, std::nullopt};
    if (argument / 8 % 4 != 0) {
        answer.load = LoadReport{"1", false, {}, EngineMemory, EngineMemory, 0, 0, now_};
    }
    give(answer);
}

void Adversary::sendView()
{
    auto view = std::make_shared<ServingView>();
    view->document = document_;
    view->receivedAt = now_;
    for (const Endpoint &endpoint : document_->endpoints) {
        view->endpoints[endpoint.id] = {endpoint.id, EndpointHealth::Live, std::nullopt, now_};
    }
    give(ViewChanged{view});
}

void Adversary::passTime(Duration duration)
{
    const TimePoint end = now_ + duration;
    take(dispatcher_->advance(now_));
    while (dispatcher_->nextDue() && *dispatcher_->nextDue() <= end) {
        now_ = std::max(now_ + 1ms, *dispatcher_->nextDue());
        take(dispatcher_->advance(now_));
    }
    now_ = std::max(now_, end);
}

void Adversary::give(const DispatchInput &input)
{
    take(dispatcher_->handle(now_, input));
}

void Adversary::take(const std::vector<DispatchAction> &actions)
{
    for (const DispatchAction &action : actions) {
        std::visit([this](const auto &value) { take(value); }, action);
    }
}

void Adversary::take(const StartAttempt &action)
{
    const Request &request = requests_.at(action.spec->id);
    require(identifiers_.insert(action.attempt).second, "attempt " + action.attempt.value() + " was started twice");
    require(request.finishes.empty(), action.spec->id.value() + " was dispatched after its end");
    require(now_ < request.spec->deadline, action.spec->id.value() + " was dispatched after its deadline");
    const bool mayHaveRun = std::any_of(
        attempts_.begin(), attempts_.end(), [&](const Attempt &earlier) { return earlier.start.spec->id == action.spec->id && earlier.fate != Fate::NotRun; });
    require(request.spec->idempotent || (request.won && !mayHaveRun), action.spec->id.value() + " was dispatched twice or without a claim");
    if (action.allocation) {
        const auto allocation = allocations_.find(*action.allocation);
        require(allocation != allocations_.end() && allocation->second.releases == 0, "an attempt uses memory that is released");
    }
    const auto sent = static_cast<std::uint64_t>(std::count(action.continuation.begin(), action.continuation.end(), ' '));
    require(action.continuation == request.sent || !request.spec->idempotent, "the continuation differs from the text that was sent");
    attempts_.push_back({action, Fate::Sent, sent, 0});
}

void Adversary::take(const RequestClaim &action)
{
    claims_.push_back(action);
    claimOwners_[action.attempt] = action.request;
    requests_.at(action.request).claimsAsked += 1;
}

void Adversary::take(const ReleaseClaim &action)
{
    requests_.at(claimOwners_.at(action.attempt)).claimsSettled += 1;
    // A released attempt is dead and no longer holds its key; one that never reached the log is dead as well.
    if (const auto holder = holders_.find(action.key); holder != holders_.end() && holder->second == action.attempt) {
        holders_.erase(holder);
    }
    std::erase_if(claims_, [&action](const RequestClaim &ask) { return ask.attempt == action.attempt; });
}

void Adversary::take(const RecordOutcome &action)
{
    requests_.at(claimOwners_.at(action.attempt)).claimsSettled += 1;
}

void Adversary::take(const ReserveAllocation &action)
{
    require(requests_.at(action.request).finishes.empty(), action.request.value() + " reserved memory after its end");
    for (const auto &[id, earlier] : allocations_) {
        const bool ofGroup = earlier.reserve.request == action.request && earlier.releases == 0;
        require(!ofGroup || earlier.reserve.endpoint < action.endpoint, "memory was not reserved in ascending order of endpoints");
    }
    allocations_[action.allocation].reserve = action;
}

void Adversary::take(const ReleaseAllocation &action)
{
    Allocation &allocation = allocations_.at(action.allocation);
    allocation.releases += 1;
    allocation.heldByEngine = false;
}

void Adversary::take(const PrefillPart &action)
{
    prefills_.push_back(action.allocation);
}

void Adversary::take(const SendToCaller &action)
{
    Request &request = requests_.at(action.request);
    require(request.finishes.empty(), action.request.value() + " got a part of its answer after its end");
    request.sent += action.text;
}

void Adversary::take(const FinishRequest &action)
{
    Request &request = requests_.at(action.request);
    request.finishes.push_back(action);
    request.endedLate = now_ > request.spec->deadline + AnswerLimit && now_ != resumedAt_;
    for (const auto &[id, allocation] : allocations_) {
        require(allocation.reserve.request != action.request || allocation.releases > 0, "allocation " + id.value() + " outlives its request");
    }
}

void Adversary::checkEnd(const Request &request)
{
    const std::string &name = request.spec->id.value();
    require(request.finishes.size() == 1, name + " ended " + std::to_string(request.finishes.size()) + " times");
    if (request.finishes.empty()) {
        return;
    }
    const FinishRequest &finish = request.finishes.front();
    require(!request.endedLate, name + " ended after its deadline");
    const std::string right = rightText(*request.spec, 0, AnswerTokens);
    require(right.starts_with(request.sent), name + " got a wrong text: " + request.sent);
    require(!finish.succeeded || request.sent == right, name + " succeeded with an incomplete answer");
    const bool mayHaveRun = std::any_of(
        attempts_.begin(), attempts_.end(), [&](const Attempt &attempt) { return attempt.start.spec->id == request.spec->id && attempt.fate != Fate::NotRun; });
    require(finish.runState != RunState::WasNotRun || !mayHaveRun, name + " was reported as not run, but may have run");
    require(request.claimsAsked == request.claimsSettled, name + " left a claim unsettled");
    require(request.spec->idempotent || request.claimsAsked <= 1, name + " asked for more than one claim");
}

void Adversary::require(bool condition, const std::string &message)
{
    if (!condition) {
        problems_.push_back(message);
    }
}

Adversary::Attempt *Adversary::pickAttempt(std::uint32_t argument)
{
    if (attempts_.empty()) {
        return nullptr;
    }
    // Mostly a recent attempt, so that answers make progress; earlier ones stand for late messages.
    const std::size_t back = argument % 8 < 6 ? argument % 2 : argument / 8 % attempts_.size();
    return &attempts_[attempts_.size() - 1 - std::min(back, attempts_.size() - 1)];
}

std::string Adversary::rightText(const RequestSpec &spec, std::uint64_t begin, std::uint64_t end)
{
    std::string text;
    for (std::uint64_t token = begin; token < end; ++token) {
        text += spec.id.value() + "." + std::to_string(token) + " ";
    }
    return text;
}

}
