#pragma once

#include "base/identifier.h"

#include <compare>
#include <cstdint>

namespace Lentillock
{

/// Requests that one VM, or all VMs together, have in progress on one endpoint.
struct EndpointLoad {
    double requests = 0; ///< Sent and not finished, without those that only use the endpoint as a helper.
    double shortRequests = 0; ///< Requests with short prompts. A long prefill on the endpoint delays them.
    double longRequests = 0; ///< Requests with long prompts that decode here, now or after their prefill.
    double pendingPrefillMs = 0; ///< Total prefill time, by the engine model, of all prompts without a first event.
    double pendingLongPrefillMs = 0; ///< The part of pendingPrefillMs that belongs to long prompts.
    double oldestPendingPrefillAgeMs = 0; ///< Time since the first of these prompts was sent.
    double memoryTokens = 0; ///< KV cache memory, in tokens.

    auto operator<=>(const EndpointLoad &) const = default;
    EndpointLoad &operator+=(const EndpointLoad &other);

    /// Prefill time that remains. The endpoint computes one prompt at a time, regardless of the VM that sent it.
    [[nodiscard]] double remainingPrefillMs() const;
    [[nodiscard]] double remainingLongPrefillMs() const;
};

/// Load that one VM reports for one endpoint.
struct EndpointLoadReport {
    std::uint32_t endpointHash = 0;
    EndpointLoad load;

    auto operator<=>(const EndpointLoadReport &) const = default;
};

/// Hash of the endpoint ID that identifies the endpoint in load reports. Equal on all VMs.
std::uint32_t endpointHash(const EndpointId &endpoint);

}
