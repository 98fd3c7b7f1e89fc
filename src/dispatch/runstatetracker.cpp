#include "dispatch/runstatetracker.h"

namespace Lentillock
{

void RunStateTracker::attemptStarted()
{
    attemptActive_ = true;
}

void RunStateTracker::attemptNotRun()
{
    attemptActive_ = false;
}

void RunStateTracker::attemptAbandoned()
{
    attemptActive_ = false;
    earlierAttemptUncertain_ = true;
}

void RunStateTracker::answerCompleted()
{
    answerComplete_ = true;
}

RunState RunStateTracker::state() const
{
    if (answerComplete_) {
        return RunState::Ran;
    }
    return attemptActive_ || earlierAttemptUncertain_ ? RunState::Unknown : RunState::WasNotRun;
}

}
