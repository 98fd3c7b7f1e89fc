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

/// Actions of the dispatcher that concern control processes.
using ControlAction = std::variant<RequestClaim, ReleaseClaim, RecordOutcome, ReportEndpoint>;

struct ControlLinkSettings {
    VmId vm;
    ZoneId zone;
    std::uint64_t incarnation = 0;
    std::string entryAddress; ///< Of this process's Entry service.
    std::vector<std::string> controls; ///< gRPC addresses, the own VM's first.
    milliseconds callTimeout{2000}; ///< Of one try of a call; a claim may take several tries.
};

/// The connection to the control processes: one task that receives views and carries out the dispatcher's actions.
class ControlLink
{
public:
    struct Sinks {
        std::function<void(EntryViewPtr)> view;
        std::function<void(DispatchInput)> input; ///< ClaimDecided.
    };

    /// @p vmList may be null. It is read only while no control process answers.
    ControlLink(ControlLinkSettings settings, std::unique_ptr<VmList> vmList, Sinks sinks, Metrics &metrics);

    /// Cancels all calls.
    ~ControlLink();

    ControlLink(const ControlLink &) = delete;
    ControlLink &operator=(const ControlLink &) = delete;

    /// Safe from any thread.
    void post(ControlAction action);

    /// Whether no release or outcome waits for its answer.
    [[nodiscard]] bool isIdle() const;

    /// Whether a control process answers.
    [[nodiscard]] bool isConnected() const;

private:
    class Task;
    std::unique_ptr<Task> task_;
};

}
