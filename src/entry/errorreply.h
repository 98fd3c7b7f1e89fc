#pragma once

#include "base/time.h"
#include "dispatch/messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace Lentillock
{

/// An error response to a caller.
struct ErrorReply {
    int status = 500;
    std::string code; ///< Machine-readable, for example "body_too_large".
    std::string message; ///< Human-readable.
    RunState runState = RunState::WasNotRun;
    std::optional<milliseconds> retryAfter{};

    bool operator==(const ErrorReply &) const = default;
};

std::string_view runStateName(RunState state);

/// `{"error":{...}}` without a newline. retryAfterMs is omitted if the caller should not retry.
std::string errorBody(const ErrorReply &error, const std::string &requestId);

/// Reason phrase of an HTTP status code.
std::string_view statusText(int status);

}
