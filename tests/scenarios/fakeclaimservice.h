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

/// Control process and log, as far as claims are concerned. Decides claims in the order in which they reach the log.
class FakeClaimService
{
public:
    using Post = std::function<void(DispatchInput)>;

    FakeClaimService(EventQueue &events, Post post);

    void carryOut(const DispatchAction &action);
    void setAvailable(bool available);

    bool answersLate = false;

    /// Attempts that hold @p key, for the check that at most one does.
    [[nodiscard]] bool isHeld(const std::string &key) const;

private:
    void append(const DispatchAction &action);
    void decide(const RequestClaim &ask);
    [[nodiscard]] const AttemptId *holder(const std::string &key) const;

    EventQueue &events_;
    Post post_;
    bool available_ = true;
    std::vector<DispatchAction> waiting_;
    std::map<std::string, std::vector<AttemptId>> claims_;
    std::map<AttemptId, RunState> outcomes_;
    std::set<AttemptId> dead_;
};

}
