#pragma once

#include "base/time.h"
#include "dispatch/servingview.h"
#include "membership/gossipmessage.h"
#include "platform/vmlist.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Lentillock
{

/// Condition of an endpoint as reported by an entry process.
enum class ReportedFault {
    ConnectFailed,
    Silent,
    Draining,
};

/// Combines poll results, the VM list, gossip and reports from entry processes into one state for each observed endpoint.
///
/// An endpoint that has been reported as leaving stays leaving until a poll returns another generation. An endpoint that is missing from the VM list
/// keeps its state; all endpoints keep theirs while the list cannot be read.
class EndpointTracker
{
public:
    /// Consecutive failed polls after which an endpoint is dead. The first failed poll makes it suspect.
    static constexpr unsigned DeadAfterFailedPolls = 3;

    /// Replaces the set of observed endpoints. Endpoints in both sets keep their state.
    void setEndpoints(TimePoint now, const std::vector<Endpoint> &endpoints);

    void pollSucceeded(TimePoint now, const EndpointId &id, const LoadReport &load);
    void pollFailed(TimePoint now, const EndpointId &id);
    void applyVmList(const std::vector<VmListEntry> &vms);
    void applyRumor(const EndpointRumor &rumor);

    /// @p generation is the generation that the entry process dispatched to, or empty if unknown. Reports about another generation are ignored.
    void report(const EndpointId &id, ReportedFault event, const std::string &generation);

    [[nodiscard]] std::vector<EndpointState> states() const;
    [[nodiscard]] const EndpointState *find(const EndpointId &id) const;

    /// Returns and clears the endpoints to poll immediately: new ones and those with a reported fault.
    std::vector<EndpointId> takeUrgentPolls();

    /// Returns and clears the health changes to propagate to other VMs.
    std::vector<EndpointRumor> takeRumors();

    /// Increases when the endpoints are set and when the health of one changes.
    [[nodiscard]] std::uint64_t revision() const;

private:
    struct Tracked {
        EndpointState state;
        std::string generation; ///< Empty until the first successful poll.
        std::set<std::string> leavingGenerations; ///< Generations that have been reported as leaving.
        bool leavingUnknownGeneration = false; ///< Reported as leaving before the first successful poll.
        bool leavingInVmList = false; ///< According to the last VM list that contains the endpoint.
        unsigned consecutiveFailedPolls = 0;
    };

    void markSuspect(Tracked &tracked);
    void markLeaving(Tracked &tracked, const std::string &generation);
    void updateHealth(Tracked &tracked);
    void setHealth(Tracked &tracked, EndpointHealth health);

    std::map<EndpointId, Tracked> endpoints_;
    std::set<EndpointId> urgentPolls_;
    std::vector<EndpointRumor> rumors_;
    std::uint64_t revision_ = 0;
};

}
