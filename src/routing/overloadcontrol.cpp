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
    Outflow &outflow = outflows_.at(static_cast<std::size_t>(workClassOf(promptTokens)));
    const double decay = std::exp2(-seconds(now - outflow.updatedAt) / seconds(HalfLife));
    outflow.tokens = (outflow.tokens * decay) + static_cast<double>(promptTokens);
    outflow.updatedAt = now;
}

std::optional<Duration> OverloadControl::retryAfter(TimePoint now, const QueueEntry &entry, const AdmissionQueue &queue) const
{
    const WorkClass workClass = workClassOf(entry.promptTokens);
    const auto waiting = static_cast<double>(queue.waitingTokens(workClass));
    const double rate = tokensPerSecond(now, workClass);
    // Without any outflow there is nothing to predict from; the queue's length limit applies.
    if (waiting == 0 || rate == 0) {
        return std::nullopt;
    }
    const double wait = waiting / rate;
    const double own = static_cast<double>(queue.waitingTokens(workClass, entry.workspace)) * static_cast<double>(queue.waitingWorkspaces(workClass));
    const double allowed = WaitShare * seconds(entry.deadline - now) * (own < waiting ? UnfairFactor : 1);
    if (wait <= allowed) {
        return std::nullopt;
    }
    return std::max<Duration>(MinRetryAfter, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait - allowed)));
}

double OverloadControl::tokensPerSecond(TimePoint now, WorkClass workClass) const
{
    const Outflow &outflow = outflows_.at(static_cast<std::size_t>(workClass));
    const double decay = std::exp2(-seconds(now - outflow.updatedAt) / seconds(HalfLife));
    return outflow.tokens * decay * std::numbers::ln2 / seconds(HalfLife);
}

}
