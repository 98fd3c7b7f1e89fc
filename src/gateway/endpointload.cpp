#include "gateway/endpointload.h"

#include "base/hash.h"

#include <algorithm>

namespace Lentillock
{

namespace
{

/// Fraction of the pending prefill that is assumed to remain until the first event arrives, however late that is.
constexpr double MinRemainingPrefillFraction = 0.1;

}

std::uint32_t endpointHash(const EndpointId &endpoint)
{
    return static_cast<std::uint32_t>(stableHash(endpoint.value()));
}

EndpointLoad &EndpointLoad::operator+=(const EndpointLoad &other)
{
    requests += other.requests;
    shortRequests += other.shortRequests;
    longRequests += other.longRequests;
    pendingPrefillMs += other.pendingPrefillMs;
    pendingLongPrefillMs += other.pendingLongPrefillMs;
    oldestPendingPrefillAgeMs = std::max(oldestPendingPrefillAgeMs, other.oldestPendingPrefillAgeMs);
    memoryTokens += other.memoryTokens;
    return *this;
}

double EndpointLoad::remainingPrefillMs() const
{
    return std::max(MinRemainingPrefillFraction * pendingPrefillMs, pendingPrefillMs - oldestPendingPrefillAgeMs);
}

double EndpointLoad::remainingLongPrefillMs() const
{
    return pendingPrefillMs > 0 ? remainingPrefillMs() * pendingLongPrefillMs / pendingPrefillMs : 0;
}

}
