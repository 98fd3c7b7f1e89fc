#include "scenarios/fakeclaimservice.h"

#include <algorithm>
#include <utility>

namespace Lentillock::Scenarios
{

namespace
{

constexpr Duration AppendTime = 20ms;
constexpr Duration LateAnswer = 4s;

}

FakeClaimService::FakeClaimService(EventQueue &events, Post post)
    : events_(events)
    , post_(std::move(post))
{
}

void FakeClaimService::carryOut(const DispatchAction &action)
{
    events_.schedule(AppendTime, [this, action] { append(action); });
}

void FakeClaimService::setAvailable(bool available)
{
    available_ = available;
    if (available_) {
        for (const DispatchAction &action : std::exchange(waiting_, {})) {
            append(action);
        }
    }
}

bool FakeClaimService::isHeld(const std::string &key) const
{
    return holder(key) != nullptr;
}

void FakeClaimService::append(const DispatchAction &action)
{
    if (!available_) {
        waiting_.push_back(action);
    } else if (const auto *ask = std::get_if<RequestClaim>(&action)) {
        decide(*ask);
    } else if (const auto *release = std::get_if<ReleaseClaim>(&action)) {
        dead_.insert(release->attempt);
    } else if (const auto *outcome = std::get_if<RecordOutcome>(&action)) {
        outcomes_[outcome->attempt] = outcome->state;
    }
}

void FakeClaimService::decide(const RequestClaim &ask)
{
    claims_[ask.key].push_back(ask.attempt);
    const AttemptId *first = holder(ask.key);
    if (first == nullptr) {
        return; // The claim was released before it reached the log.
    }
    ClaimDecided verdict{ask.request, ask.attempt, ClaimVerdict::Won, RunState::Unknown, {}};
    if (*first != ask.attempt) {
        verdict.verdict = ClaimVerdict::Lost;
        verdict.winnerState = outcomes_.contains(*first) ? outcomes_.at(*first) : RunState::Unknown;
    }
    events_.schedule(answersLate ? LateAnswer : Duration::zero(), [this, verdict] { post_(verdict); });
}

const AttemptId *FakeClaimService::holder(const std::string &key) const
{
    const auto claims = claims_.find(key);
    if (claims == claims_.end()) {
        return nullptr;
    }
    const auto live = std::find_if(claims->second.begin(), claims->second.end(), [this](const AttemptId &attempt) { return !dead_.contains(attempt); });
    return live == claims->second.end() ? nullptr : &*live;
}

}
