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

    void attemptGivenUp();
    void answerWhole();

    [[nodiscard]] RunState state() const;

private:
    bool attemptLive_ = false;
    bool earlierUncertain_ = false;
    bool answerWhole_ = false;
};

}
