#include "scenarios/fakeclaimservice.h"

#include <algorithm>
#include <utility>

namespace Lentillock::Scenarios
{

namespace
{

constexpr Duration AppendLatency = 20ms;
constexpr Duration DelayedVerdictLatency = 4s;

}

FakeClaimService::FakeClaimService(EventQueue &events, Post post)
    : events_(events)
    , post_(std::move(post))
{
}

void FakeClaimService::execute(const DispatchAction &action)
{
    events_.schedule(AppendLatency, [this, action] { append(action); });
}

void FakeClaimService::setAvailable(bool available)
{
    available_ = available;
    if (available_) {
        for (const DispatchAction &action : std::exchange(pendingActions_, {})) {
            append(action);
        }
    }
}

bool FakeClaimService::isHeld(const std::string &key) const
{
    return findHolder(key) != nullptr;
}

void FakeClaimService::append(const DispatchAction &action)
{
    if (!available_) {
        pendingActions_.push_back(action);
    } else if (const auto *claim = std::get_if<RequestClaim>(&action)) {
        decide(*claim);
    } else if (const auto *release = std::get_if<ReleaseClaim>(&action)) {
        releasedAttempts_.insert(release->attempt);
    } else if (const auto *outcome = std::get_if<RecordOutcome>(&action)) {
        outcomes_[outcome->attempt] = outcome->state;
    }
}

void FakeClaimService::decide(const RequestClaim &claim)
{
    claims_[claim.key].push_back(claim.attempt);
    const AttemptId *winner = findHolder(claim.key);
    if (winner == nullptr) {
        return; // The claim was released before it was appended.
    }
    ClaimDecided verdict{claim.request, claim.attempt, ClaimVerdict::Won, RunState::Unknown, {}};
    if (*winner != claim.attempt) {
        verdict.verdict = ClaimVerdict::Lost;
        verdict.winnerState = outcomes_.contains(*winner) ? outcomes_.at(*winner) : RunState::Unknown;
    }
    events_.schedule(delayVerdicts ? DelayedVerdictLatency : Duration::zero(), [this, verdict] { post_(verdict); });
}

const AttemptId *FakeClaimService::findHolder(const std::string &key) const
{
    const auto claims = claims_.find(key);
    if (claims == claims_.end()) {
        return nullptr;
    }
    const auto unreleased
        = std::find_if(claims->second.begin(), claims->second.end(), [this](const AttemptId &attempt) { return !releasedAttempts_.contains(attempt); });
    return unreleased == claims->second.end() ? nullptr : &*unreleased;
}

}
