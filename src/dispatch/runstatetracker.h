#pragma once

#include "dispatch/messages.h"

namespace Lentillock
{

/// What is known about whether any attempt of a request has run.
class RunStateTracker
{
public:
    void attemptStarted();

    /// No byte of the live attempt was sent, or the endpoint states that it did not run it.
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
