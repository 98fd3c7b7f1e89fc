#pragma once

#include "dispatch/messages.h"

namespace Lentillock
{

/// Tracks whether any attempt of a request has run.
class RunStateTracker
{
public:
    void attemptStarted();

    /// No byte of the current attempt was sent, or the endpoint states that it did not run the attempt.
    void attemptNotRun();

    void attemptAbandoned();
    void answerCompleted();

    [[nodiscard]] RunState state() const;

private:
    bool attemptActive_ = false;
    bool earlierAttemptUncertain_ = false;
    bool answerComplete_ = false;
};

}
