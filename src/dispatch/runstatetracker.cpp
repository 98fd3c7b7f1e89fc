#include "dispatch/runstatetracker.h"

namespace Lentillock
{

void RunStateTracker::attemptStarted()
{
    attemptLive_ = true;
}

void RunStateTracker::attemptNotRun()
{
    attemptLive_ = false;
}

void RunStateTracker::attemptGivenUp()
{
    attemptLive_ = false;
    earlierUncertain_ = true;
}

void RunStateTracker::answerWhole()
{
    answerWhole_ = true;
}

RunState RunStateTracker::state() const
{
    if (answerWhole_) {
        return RunState::Ran;
    }
    return attemptLive_ || earlierUncertain_ ? RunState::Unknown : RunState::WasNotRun;
}

}
