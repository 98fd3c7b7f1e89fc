#include "dispatch/dispatcherstate.h"

#include <utility>

namespace Lentillock
{

DispatcherState::DispatcherState(DispatcherSettings settings, std::unique_ptr<RoutingPolicy> policy)
    : settings_(std::move(settings))
    , policy_(std::move(policy))
{
}

void DispatcherState::handle(TimePoint now, const RequestArrived &message)
{
    const RequestSpec &spec = *message.spec;
    const auto candidates = spec.kind == RequestKind::Completion ? fleet_.candidatesForModel(spec.model) : fleet_.candidatesForPath(spec.path);
    const auto choice = policy_->choose(
        now, {spec.workspace, spec.promptTokens, spec.maxTokens, spec.prefixBlocks, {}, settings_.zone, spec.deadline}, candidates, nextAttempt_);
    if (!choice || !spec.idempotent) {
        FinishRequest refusal;
        refusal.request = spec.id;
        refusal.status = 503;
        refusal.code = "no_endpoint";
        refusal.message = "no endpoint can take the request";
        refusal.runState = RunState::WasNotRun;
        actions_.emplace_back(std::move(refusal));
        return;
    }
    const AttemptId attempt(settings_.vm.value() + "-" + std::to_string(settings_.incarnation) + "-" + std::to_string(nextAttempt_++));
    requests_[spec.id] = {message.spec, attempt, 0};
    attempts_[attempt] = spec.id;
    fleet_.attemptStarted(attempt, choice->endpoint, spec.promptTokens, spec.maxTokens);
    actions_.emplace_back(StartAttempt{attempt, choice->endpoint, fleet_.endpoint(choice->endpoint)->address, message.spec, {}, {}, {}, 0});
}

void DispatcherState::handle(TimePoint /*now*/, const AttemptChunk &message)
{
    Request *request = find(message.attempt);
    if (request == nullptr || message.position != request->position) {
        return;
    }
    request->position += message.length;
    fleet_.firstTokenArrived(message.attempt);
    actions_.emplace_back(SendToCaller{request->spec->id, message.text, message.length, 200, {}});
}

void DispatcherState::handle(TimePoint /*now*/, const AttemptEnded &message)
{
    Request *request = find(message.attempt);
    if (request == nullptr) {
        return;
    }
    FinishRequest finished;
    finished.request = request->spec->id;
    finished.succeeded = message.position == request->position;
    finished.runState = finished.succeeded ? RunState::Ran : RunState::Unknown;
    finished.code = finished.succeeded ? "" : "answer_incomplete";
    finished.finishReason = message.finishReason;
    finished.promptTokens = message.promptTokens;
    finished.cachedTokens = message.cachedTokens;
    finished.completionTokens = request->position;
    finish(request->spec->id, std::move(finished));
}

void DispatcherState::handle(TimePoint /*now*/, const AttemptFailed &message)
{
    const Request *request = find(message.attempt);
    if (request == nullptr) {
        return;
    }
    FinishRequest failed;
    failed.request = request->spec->id;
    failed.status = 502;
    failed.code = "endpoint_failed";
    failed.message = message.message;
    failed.runState = RunState::Unknown;
    finish(request->spec->id, std::move(failed));
}

void DispatcherState::handle(TimePoint /*now*/, const ViewChanged &message)
{
    fleet_.setView(message.view);
}

void DispatcherState::expire(TimePoint now)
{
    std::vector<RequestId> expired;
    for (const auto &[id, request] : requests_) {
        if (request.spec->deadline <= now) {
            expired.push_back(id);
        }
    }
    for (const RequestId &id : expired) {
        FinishRequest failed;
        failed.request = id;
        failed.status = 504;
        failed.code = "deadline_exceeded";
        failed.message = "the deadline has passed";
        failed.runState = RunState::Unknown;
        finish(id, std::move(failed));
    }
}

void DispatcherState::finish(const RequestId &id, FinishRequest action)
{
    const AttemptId attempt = requests_.at(id).attempt;
    fleet_.attemptEnded(attempt);
    attempts_.erase(attempt);
    requests_.erase(id);
    actions_.emplace_back(std::move(action));
}

DispatcherState::Request *DispatcherState::find(const AttemptId &attempt)
{
    const auto found = attempts_.find(attempt);
    return found == attempts_.end() ? nullptr : &requests_.at(found->second);
}

}
