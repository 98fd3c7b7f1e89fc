#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Lentillock
{

/// The faults that are in force for each service. Thread-safe.
class Faults
{
public:
    /// What is to be done with one request.
    struct Effect {
        bool refuse = false;
        TimePoint executeAt; ///< Before this time the request is held back.
        Duration answerDelay = Duration::zero();
        bool loseAnswer = false;
    };

    /// Returns a message when @p body is not a valid fault, else an empty string.
    std::string inject(const std::string &body, TimePoint now);

    Effect effectOn(const std::string &service, bool isWrite, TimePoint now);

    /// When a request to @p service that is held back may be executed.
    TimePoint frozenUntil(const std::string &service);

private:
    struct State {
        TimePoint outageUntil;
        TimePoint frozenUntil;
        TimePoint slowUntil;
        Duration delay = Duration::zero();
        std::int64_t answersToLose = 0;
    };

    std::mutex mutex_;
    std::map<std::string, State> services_{{"log", {}}, {"vms", {}}, {"weights", {}}};
};

}
