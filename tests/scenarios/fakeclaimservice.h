#pragma once

#include "dispatch/messages.h"
#include "scenarios/eventqueue.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Lentillock::Scenarios
{

/// Fakes the claim handling of the control process and the log. Claims are decided in the order in which they are appended to the log.
class FakeClaimService
{
public:
    using Post = std::function<void(DispatchInput)>;

    FakeClaimService(EventQueue &events, Post post);

    void execute(const DispatchAction &action);
    void setAvailable(bool available);

    bool delayVerdicts = false; ///< Claims are decided at once, but the verdicts are delivered 4 s late.

    /// Whether any claim on @p key has not been released.
    [[nodiscard]] bool isHeld(const std::string &key) const;

private:
    void append(const DispatchAction &action);
    void decide(const RequestClaim &claim);
    [[nodiscard]] const AttemptId *findHolder(const std::string &key) const;

    EventQueue &events_;
    Post post_;
    bool available_ = true;
    std::vector<DispatchAction> pendingActions_;
    std::map<std::string, std::vector<AttemptId>> claims_;
    std::map<AttemptId, RunState> outcomes_;
    std::set<AttemptId> releasedAttempts_;
};

}
