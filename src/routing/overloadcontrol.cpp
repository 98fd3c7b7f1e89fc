#include "routing/overloadcontrol.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace Lentillock
{

namespace
{

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

}

void OverloadControl::dispatched(TimePoint now, std::uint64_t promptTokens)
{
    DispatchedWork &work = dispatchedWork_.at(static_cast<std::size_t>(workClassOf(promptTokens)));
    const double decay = std::exp2(-seconds(now - work.updatedAt) / seconds(HalfLife));
    work.tokens = (work.tokens * decay) + static_cast<double>(promptTokens);
    work.updatedAt = now;
}

std::optional<Duration> OverloadControl::retryAfter(TimePoint now, const QueueEntry &entry, const AdmissionQueue &queue) const
{
    const WorkClass workClass = workClassOf(entry.promptTokens);
    const auto waiting = static_cast<double>(queue.waitingTokens(workClass));
    const double rate = dispatchRate(now, workClass);
    // The wait cannot be predicted before any work has been dispatched; only the length limit of the queue applies.
    if (waiting == 0 || rate == 0) {
        return std::nullopt;
    }
    const double wait = waiting / rate;
    const double scaledOwnTokens
        = static_cast<double>(queue.waitingTokens(workClass, entry.workspace)) * static_cast<double>(queue.waitingWorkspaces(workClass));
    const double allowed = MaxWaitShare * seconds(entry.deadline - now) * (scaledOwnTokens < waiting ? BelowAverageFactor : 1);
    if (wait <= allowed) {
        return std::nullopt;
    }
    return std::max<Duration>(MinRetryAfter, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait - allowed)));
}

double OverloadControl::dispatchRate(TimePoint now, WorkClass workClass) const
{
    const DispatchedWork &work = dispatchedWork_.at(static_cast<std::size_t>(workClass));
    const double decay = std::exp2(-seconds(now - work.updatedAt) / seconds(HalfLife));
    return work.tokens * decay * std::numbers::ln2 / seconds(HalfLife);
}

}
