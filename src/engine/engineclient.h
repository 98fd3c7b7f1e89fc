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

/// Actions of the dispatcher that concern endpoints.
using EngineAction = std::variant<StartAttempt, ResumeAttempt, CancelAttempt, ProbeAttempt, ProbeEndpoint, ReserveAllocation, PrefillPart, ReleaseAllocation>;

struct EngineClientSettings {
    std::string owner; ///< "VM/INCARNATION", the first two parts of the owner tag of allocations.
    milliseconds connectTimeout{1000}; ///< Of a new connection to an endpoint.
    milliseconds probeTimeout{1000}; ///< Of probes, cancels and allocation calls as a whole.
    long maxIdleConnections = 256; ///< Connections kept open for later requests, over all endpoints.
};

/// Carries out the dispatcher's actions towards endpoints. One task owns all connections.
///
/// A request that is not idempotent, a probe, a resume and a cancel always use a new connection.
class EngineClient
{
public:
    using Sink = std::function<void(std::vector<DispatchInput>)>;

    /// @p sink is called from the client's task with the results, in order for each attempt. While it waits, nothing is read from endpoints.
    EngineClient(EngineClientSettings settings, Sink sink, Metrics &metrics);

    /// Closes all connections and waits for the task.
    ~EngineClient();

    EngineClient(const EngineClient &) = delete;
    EngineClient &operator=(const EngineClient &) = delete;

    /// Safe from any thread.
    void post(EngineAction action);

private:
    class Task;
    std::unique_ptr<Task> task_;
};

}
