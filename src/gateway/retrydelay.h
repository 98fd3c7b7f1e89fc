#pragma once

#include "base/time.h"

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace Lentillock
{

/// Longest time for which a VM sends an endpoint nothing because of its own statement. A faulty value must not exclude an endpoint for good, and
/// one request an hour costs little.
inline constexpr Duration MaxRetryDelay = 1h;

/// The time for which an endpoint wants no requests, as stated in the Retry-After field of a rejection.
struct RetryDelay {
    std::optional<Duration> time{}; ///< At most MaxRetryDelay; not set if nothing valid is stated.
    std::string rejectedText{}; ///< The stated value if it is not valid or was limited, shortened; empty otherwise.

    auto operator<=>(const RetryDelay &) const = default;

    /// Reads a number of seconds, which may have a fraction. Negative numbers, dates and other texts are not valid; zero states no time.
    static RetryDelay fromText(std::string_view text);
};

/// Time that a VM adds to a retry delay of @p time: up to a tenth of it and up to a second, different for each @p key.
Duration retryDelaySpread(Duration time, std::string_view key);

}
