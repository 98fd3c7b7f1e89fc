#pragma once

#include "base/metrics.h"
#include "dispatch/messages.h"
#include "entry/filterchain.h"
#include "platform/vmlist.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Lentillock
{

/// Actions of the dispatcher that are sent to control processes.
using ControlAction = std::variant<RequestClaim, ReleaseClaim, RecordOutcome, ReportEndpoint>;

struct ControlLinkSettings {
    VmId vm;
    ZoneId zone;
    std::uint64_t incarnation = 0;
    std::string entryAddress; ///< Address of this process's Entry service.
    std::vector<std::string> controls; ///< gRPC addresses, the one on the local VM first.
    milliseconds callTimeout{2000}; ///< Timeout of one attempt of a call; a claim may need several attempts.
};

/// Connection to the control processes. A thread receives views and sends the dispatcher's actions.
class ControlLink
{
public:
    struct Sinks {
        std::function<void(EntryViewPtr)> view;
        std::function<void(DispatchInput)> input; ///< ClaimDecided.
    };

    /// @p vmList may be null. It is read only while no control process responds.
    ControlLink(ControlLinkSettings settings, std::unique_ptr<VmList> vmList, Sinks sinks, Metrics &metrics);

    /// Cancels all calls.
    ~ControlLink();

    ControlLink(const ControlLink &) = delete;
    ControlLink &operator=(const ControlLink &) = delete;

    /// Thread-safe.
    void post(ControlAction action);

    /// Whether no release or outcome is waiting for its reply.
    [[nodiscard]] bool isIdle() const;

    /// Whether updates arrive from a control process.
    [[nodiscard]] bool isConnected() const;

private:
    class Task;
    std::unique_ptr<Task> task_;
};

}
