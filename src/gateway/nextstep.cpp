#include "gateway/nextstep.h"

namespace Lentillock
{

NextStep nextStep(const RetryState &state)
{
    const bool isAllowed = !state.mayHaveRun || (state.allowsMultipleRuns && state.possibleRuns < state.maxRuns);
    // A failed attempt to connect did not reach any endpoint and is not charged to the retry budget.
    const bool isWithinBudget = state.outcome == AttemptOutcome::NotConnected || state.hasRetryBudget;
    if (isAllowed && !state.mayCrashEndpoint && isWithinBudget && state.hasTimeLeft && state.attempts < MaxAttempts) {
        return NextStep::Retry;
    }
    if (state.hasSilentAttempt) {
        return NextStep::WaitForSilentAttempt;
    }
    if (state.responseStarted) {
        return NextStep::AbortResponse;
    }
    if (state.hasErrorResponse) {
        return NextStep::RelayErrorResponse;
    }
    return state.mayHaveRun ? NextStep::ReportMayHaveRun : NextStep::ReportNotRun;
}

}
