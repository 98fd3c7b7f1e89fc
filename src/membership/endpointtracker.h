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

/// What an entry process saw at an endpoint.
enum class ReportedFault {
    ConnectFailed,
    Silent,
    Draining,
};

/// Merges polls, the VM list, gossip and reports of entries into one state for each observed endpoint.
///
/// An endpoint that said it was leaving stays leaving until a poll shows another generation. An endpoint that is missing from the VM list keeps
/// its state, and so do all while the list cannot be read.
class EndpointTracker
{
public:
    /// Consecutive polls without an answer after which an endpoint is dead; a single one makes it suspect.
    static constexpr unsigned DeadAfterMisses = 3;

    /// Sets the observed endpoints. Those that stay keep their state.
    void setEndpoints(TimePoint now, const std::vector<Endpoint> &endpoints);

    void pollSucceeded(TimePoint now, const EndpointId &id, const LoadReport &load);
    void pollFailed(TimePoint now, const EndpointId &id);
    void applyVmList(const std::vector<VmListEntry> &vms);
    void applyRumor(const EndpointRumor &rumor);

    /// @p generation is the one that the entry dispatched to; empty if it does not know.
    void report(const EndpointId &id, ReportedFault event, const std::string &generation);

    [[nodiscard]] std::vector<EndpointState> states() const;
    [[nodiscard]] const EndpointState *find(const EndpointId &id) const;

    /// Endpoints to poll at once, because someone saw a fault; cleared by the call.
    std::vector<EndpointId> takeUrgentPolls();

    /// Changes that other VMs should hear of; cleared by the call.
    std::vector<EndpointRumor> takeRumors();

    /// Rises with every change of a health.
    [[nodiscard]] std::uint64_t revision() const;

private:
    struct Tracked {
        EndpointState state;
        std::string generation; ///< Empty until the first poll has succeeded.
        std::set<std::string> leaving; ///< Generations that said they were leaving.
        bool leavingUnknown = false; ///< Said to be leaving before any generation was known.
        bool listedLeaving = false; ///< By the last VM list that mentions the endpoint.
        unsigned misses = 0;
    };

    void doubt(Tracked &tracked);
    void markLeaving(Tracked &tracked, const std::string &generation);
    void settle(Tracked &tracked);
    void setHealth(Tracked &tracked, EndpointHealth health);

    std::map<EndpointId, Tracked> endpoints_;
    std::set<EndpointId> urgent_;
    std::vector<EndpointRumor> rumors_;
    std::uint64_t revision_ = 0;
};

}
