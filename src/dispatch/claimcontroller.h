#pragma once

#include "dispatch/messages.h"

#include <optional>

namespace Lentillock
{

/// The claim on the idempotency key of one request. A request is dispatched only while isSatisfied().
class ClaimController
{
public:
    explicit ClaimController(RequestSpecPtr spec);

    /// True for idempotent requests, which need no claim, and after the verdict Won.
    [[nodiscard]] bool isSatisfied() const;

    [[nodiscard]] RequestClaim request(const AttemptId &attempt);

    /// Returns false when the verdict is not about the claim that was asked for, or is a repetition.
    bool handleVerdict(const ClaimDecided &verdict);

    /// Ends the claim. Releases it if the request certainly was not run, else records the outcome.
    [[nodiscard]] std::optional<DispatchAction> settle(RunState state);

private:
    enum class State {
        NotRequested,
        Requested,
        Won,
        Lost,
        Refused,
        Settled,
    };

    RequestSpecPtr spec_;
    State state_ = State::NotRequested;
    AttemptId attempt_;
};

}
