#include "gateway/nextstep.h"

namespace Lentillock
{

NextStep nextStep(const RetryState &facts)
{
    const bool isAllowed = !facts.mayHaveRun || (facts.mayRepeat && facts.possibleRuns < facts.maxRuns);
    // An attempt to connect that failed has not arrived anywhere and takes nothing from the budget.
    const bool isAffordable = facts.outcome == SendOutcome::NotConnected || facts.hasRetryBudget;
    if (isAllowed && isAffordable && facts.hasTimeLeft && facts.sends < MaxSends) {
        return NextStep::Retry;
    }
    if (facts.responseStarted) {
        return NextStep::AbortResponse;
    }
    if (facts.hasErrorResponse) {
        return NextStep::RelayFailure;
    }
    return facts.mayHaveRun ? NextStep::FailUnknown : NextStep::RefuseNotRun;
}

}
