#pragma once

#include "base/time.h"

#include <optional>
#include <string>

namespace Lentillock
{

/// Error of a failed request, as sent to the caller.
struct Failure {
    int status = 500;
    std::string code;
    std::string message;
    bool retryLater = false; ///< Sends Retry-After to the caller.
    std::optional<Duration> retryAfter = std::nullopt; ///< Overrides DispatcherSettings::retryAfter.

    bool operator==(const Failure &) const = default;
};

namespace Failures
{

Failure deadlineExceeded();
Failure cannotFinishInTime();
Failure overloaded();
Failure overloaded(Duration retryAfter);
Failure rateLimited(Duration retryAfter);
Failure draining();
Failure aborted();
Failure viewExpired();
Failure noEndpoint();
Failure promptTooLong();
Failure keyInUse(const std::string &message);
Failure keyRefused(const std::string &message);
Failure retryLimit(const std::string &cause);
Failure endpointFailed(const std::string &cause);
Failure answerInconsistent();
Failure rejected(int status, const std::string &message);
Failure callerDisconnected();

}

}
