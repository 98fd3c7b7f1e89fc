#pragma once

#include "base/time.h"
#include "routing/admissionqueue.h"
#include "routing/workclass.h"

#include <array>
#include <optional>

namespace Lentillock
{

/// Sheds requests that would wait too long, before any work has been spent on them.
///
/// The wait is predicted from the waiting work of the request's class and the recent rate at which work of that class has been dispatched.
/// A request of a workspace with less waiting work than the average workspace is refused only if its wait exceeds `BelowAverageFactor` times
/// the limit.
class OverloadControl
{
public:
    /// Records that a request has left the queue for an endpoint.
    void dispatched(TimePoint now, std::uint64_t promptTokens);

    /// Returns the time after which to retry if the request must be refused, else nothing. @p queue must not contain the request yet.
    [[nodiscard]] std::optional<Duration> retryAfter(TimePoint now, const QueueEntry &entry, const AdmissionQueue &queue) const;

private:
    static constexpr Duration HalfLife = 60s;
    /// Maximum wait as a fraction of the time to the deadline. The rest is left for the prefill and the answer.
    static constexpr double MaxWaitShare = 0.7;
    static constexpr double BelowAverageFactor = 2;
    static constexpr Duration MinRetryAfter = 1s;

    struct DispatchedWork {
        double tokens = 0; ///< Prompt tokens, decaying exponentially with HalfLife.
        TimePoint updatedAt;
    };

    [[nodiscard]] double dispatchRate(TimePoint now, WorkClass workClass) const;

    std::array<DispatchedWork, WorkClassCount> dispatchedWork_{};
};

}
