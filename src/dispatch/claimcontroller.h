#pragma once

#include "dispatch/messages.h"

#include <optional>

namespace Lentillock
{

/// Manages the claim on the idempotency key of one request. The request may be dispatched only while isSatisfied().
class ClaimController
{
public:
    explicit ClaimController(RequestSpecPtr spec);

    /// Returns true for idempotent requests, which need no claim, and after the verdict Won.
    [[nodiscard]] bool isSatisfied() const;

    [[nodiscard]] RequestClaim request(const AttemptId &attempt);

    /// Returns false if @p verdict does not refer to the pending claim or repeats an earlier verdict.
    bool handleVerdict(const ClaimDecided &verdict);

    /// Settles the claim: releases it if the request was certainly not run, else records the outcome.
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
