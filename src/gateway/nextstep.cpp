#include "gateway/nextstep.h"

namespace Lentillock
{

NextStep nextStep(const SendFacts &facts)
{
    const bool isAllowed = !facts.mayHaveRun || (facts.mayRepeat && facts.runs < facts.maxRuns);
    // An attempt to connect that failed has not arrived anywhere and takes nothing from the budget.
    const bool isAffordable = facts.outcome == SendOutcome::NotConnected || facts.budgetLeft;
    if (isAllowed && isAffordable && facts.timeLeft && facts.sends < MaxSends) {
        return NextStep::SendAgain;
    }
    if (facts.answerStarted) {
        return NextStep::CutAnswer;
    }
    if (facts.hasFailureAnswer) {
        return NextStep::RelayFailure;
    }
    return facts.mayHaveRun ? NextStep::FailUnknown : NextStep::RefuseNotRun;
}

}
