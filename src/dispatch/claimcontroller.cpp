#include "dispatch/claimcontroller.h"

#include <utility>

namespace Lentillock
{

ClaimController::ClaimController(RequestSpecPtr spec)
    : spec_(std::move(spec))
{
}

bool ClaimController::isSatisfied() const
{
    return spec_->idempotent || state_ == State::Won;
}

RequestClaim ClaimController::request(const AttemptId &attempt)
{
    state_ = State::Requested;
    attempt_ = attempt;
    return {spec_->id, attempt_, spec_->workspace, spec_->idempotencyKey, spec_->deadline};
}

bool ClaimController::handleVerdict(const ClaimDecided &verdict)
{
    if (state_ != State::Requested || verdict.attempt != attempt_) {
        return false;
    }
    switch (verdict.verdict) {
    case ClaimVerdict::Won:
        state_ = State::Won;
        break;
    case ClaimVerdict::Lost:
        state_ = State::Lost;
        break;
    case ClaimVerdict::Refused:
        state_ = State::Refused;
        break;
    }
    return true;
}

std::optional<DispatchAction> ClaimController::settle(RunState state)
{
    const State previous = std::exchange(state_, State::Settled);
    switch (previous) {
    case State::Requested:
    // A lost claim that is not released would hold the key once the winner releases it.
    case State::Lost:
        return ReleaseClaim{attempt_, spec_->workspace, spec_->idempotencyKey};
    case State::Won:
        if (state == RunState::WasNotRun) {
            return ReleaseClaim{attempt_, spec_->workspace, spec_->idempotencyKey};
        }
        return RecordOutcome{attempt_, spec_->workspace, spec_->idempotencyKey, state};
    case State::NotRequested:
    case State::Refused:
    case State::Settled:
        break;
    }
    return std::nullopt;
}

}
