#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Lentillock
{

/// Active faults of each service. Thread-safe.
class Faults
{
public:
    /// Effect of the active faults on one request.
    struct Effect {
        bool refuse = false;
        TimePoint executeAt; ///< The request is not executed before this time.
        Duration responseDelay = Duration::zero();
        bool dropResponse = false;
    };

    /// Applies the fault in @p body. Returns an error message if @p body is invalid, otherwise an empty string.
    std::string inject(const std::string &body, TimePoint now);

    /// Returns the effect on one request. Counts down the responses to drop.
    Effect effectOn(const std::string &service, bool isWrite, TimePoint now);

    /// Returns the time until which requests to @p service are not executed.
    TimePoint frozenUntil(const std::string &service);

private:
    struct State {
        TimePoint outageUntil;
        TimePoint frozenUntil;
        TimePoint slowUntil;
        Duration delay = Duration::zero();
        std::int64_t responsesToDrop = 0;
    };

    std::mutex mutex_;
    std::map<std::string, State> services_{{"log", {}}, {"vms", {}}, {"weights", {}}};
};

}
