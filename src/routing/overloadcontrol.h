#pragma once

#include "base/time.h"
#include "routing/admissionqueue.h"
#include "routing/workclass.h"

#include <array>
#include <optional>

namespace Lentillock
{

/// Refuses requests that would wait too long, before any work has been spent on them.
///
/// The wait is predicted from the work of the class that waits and the rate at which such work has been leaving the queue. Workspaces
/// with less waiting work than the average are refused only when the wait would be `UnfairFactor` times too long.
class OverloadControl
{
public:
    /// Work has left the queue for an endpoint.
    void dispatched(TimePoint now, std::uint64_t promptTokens);

    /// Returns the time after which to try again when the request is to be refused. @p queue does not contain it yet.
    [[nodiscard]] std::optional<Duration> retryAfter(TimePoint now, const QueueEntry &entry, const AdmissionQueue &queue) const;

private:
    static constexpr Duration HalfLife = 60s;
    /// A request is refused when its wait would take more than this part of its time. The rest is for its prefill and answer.
    static constexpr double WaitShare = 0.7;
    static constexpr double UnfairFactor = 2;
    static constexpr Duration MinRetryAfter = 1s;

    struct Outflow {
        double tokens = 0; ///< Decaying.
        TimePoint updatedAt;
    };

    [[nodiscard]] double tokensPerSecond(TimePoint now, WorkClass workClass) const;

    std::array<Outflow, WorkClasses> outflows_{};
};

}
