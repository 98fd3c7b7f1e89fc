#pragma once

#include "base/metrics.h"
#include "dispatch/messages.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Lentillock
{

/// Actions of the dispatcher that are sent to endpoints.
using EngineAction = std::variant<StartAttempt, ResumeAttempt, CancelAttempt, ProbeAttempt, ProbeEndpoint, ReserveAllocation, PrefillPart, ReleaseAllocation>;

struct EngineClientSettings {
    std::string owner; ///< "VM/INCARNATION", the first two parts of the owner tag of allocations.
    milliseconds connectTimeout{1000}; ///< Limit for establishing a connection to an endpoint.
    milliseconds probeTimeout{1000}; ///< Limit for a whole probe, cancel or allocation request.
    long maxIdleConnections = 256; ///< Idle connections kept open for reuse, over all endpoints.
};

/// Sends the dispatcher's actions to endpoints over HTTP. One thread owns all connections.
///
/// Only idempotent requests may reuse a connection. Requests that are not idempotent, probes, resumes, cancels and allocation requests always use a new one.
class EngineClient
{
public:
    using Sink = std::function<void(std::vector<DispatchInput>)>;

    /// The client's thread calls @p sink with the results, in order for each attempt. While @p sink blocks, nothing is read from endpoints.
    EngineClient(EngineClientSettings settings, Sink sink, Metrics &metrics);

    /// Closes all connections and joins the thread.
    ~EngineClient();

    EngineClient(const EngineClient &) = delete;
    EngineClient &operator=(const EngineClient &) = delete;

    /// Thread-safe.
    void post(EngineAction action);

private:
    class Task;
    std::unique_ptr<Task> task_;
};

}
