#pragma once

#include "base/identifier.h"
#include "base/time.h"
#include "gateway/digestcomposer.h"
#include "gateway/endpointload.h"
#include "gateway/vmgroup.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Lentillock
{

/// Each VM reports its load at least this often to the VMs of its group, even if it has not changed.
inline constexpr Duration PeriodicReportInterval = 300ms;

/// What a request does on an endpoint.
enum class WorkRole {
    ShortPrompt,
    LongPrompt,
    Helper, ///< Computes a part of a long prompt's prefill; the request decodes on another endpoint.
};

/// Load that one request puts on an endpoint.
struct WorkItem {
    double prefillMs = 0;
    double memoryTokens = 0;
    double decodeMs = 0; ///< Expected time to generate the output.
    WorkRole role = WorkRole::ShortPrompt;
};

/// Tracks the load of each endpoint: the requests of this VM exactly, those of the other VMs of its group as of their last report, and those of
/// other groups as the sums of their last digest.
class FleetLoad
{
public:
    /// Identifies the load of one request from begin() to end().
    using Ticket = std::uint64_t;

    Ticket begin(const EndpointId &endpoint, const WorkItem &item, TimePoint now);
    /// Records that the prefill is complete and the request decodes from now on.
    void finishPrefill(Ticket ticket);
    void end(Ticket ticket);

    /// Replaces the load reported by the VM @p peer of the own group.
    void applyPeerReport(const VmId &peer, const std::vector<EndpointLoadReport> &report, double shortDemand, TimePoint now);

    /// Discards the load reported by @p peer, which no longer belongs to the own group.
    void removePeer(const VmId &peer);

    /// Replaces the sums of @p group, which has @p vmCount VMs, for the endpoints in @p entries. Groups that overlap with it are discarded, so that
    /// no VM counts twice.
    void applyGroupDigest(const VmGroup &group, std::size_t vmCount, const std::vector<EndpointLoadReport> &entries, double shortDemand, TimePoint now);

    /// All sums of @p group, with the ages that they have now.
    [[nodiscard]] std::vector<EndpointLoadReport> groupEntries(const VmGroup &group, TimePoint now) const;

    /// Discards the sums of groups that overlap with @p ownGroup.
    void setOwnGroup(const VmGroup &ownGroup);

    /// Sets the number of other VMs in the VM list.
    void setExpectedPeers(std::size_t count, TimePoint now);

    /// Whether the loads include the requests of the other VMs. False after a start, until enough reports have
    /// arrived or the initial wait for them is over.
    [[nodiscard]] bool includesPeers(TimePoint now) const;

    /// Discards the reports of VMs that have stopped sending them.
    void expirePeers(TimePoint now);

    [[nodiscard]] EndpointLoad ownLoad(const EndpointId &endpoint, TimePoint now) const;
    [[nodiscard]] EndpointLoad totalLoad(const EndpointId &endpoint, TimePoint now) const;
    [[nodiscard]] std::vector<EndpointLoadReport> ownReport(TimePoint now) const;

    /// Loads of the own group: this VM and the VMs that report to it.
    [[nodiscard]] LoadSums groupSums(TimePoint now) const;

    /// Expected number of concurrent short requests at the recent arrival rate, of this VM and of all VMs.
    [[nodiscard]] double ownShortDemand(TimePoint now) const;
    [[nodiscard]] double groupShortDemand(TimePoint now) const;
    [[nodiscard]] double totalShortDemand(TimePoint now) const;

    /// Incremented with each change of this VM's own load.
    [[nodiscard]] std::uint64_t ownRevision() const;

    /// Whether a long prompt has started that has to be reported to the other VMs immediately.
    [[nodiscard]] bool hasStartedLongPrompt() const;
    /// Returns hasStartedLongPrompt() and resets it.
    bool takeStartedLongPrompt();

    /// Number of other VMs whose loads are included, in the own group and in the fleet.
    [[nodiscard]] std::size_t groupPeerCount() const;
    [[nodiscard]] std::size_t peerCount() const;

    /// Time since the last digest of each other group.
    [[nodiscard]] std::vector<Duration> groupAges(TimePoint now) const;

private:
    struct Item {
        EndpointId endpoint;
        WorkItem work;
        TimePoint startedAt;
        bool isPrefilling = true;
    };
    struct PeerReport {
        TimePoint receivedAt;
        double shortDemand = 0;
        std::unordered_map<std::uint32_t, EndpointLoad> loads;
    };

    struct GroupEntry {
        EndpointLoad load;
        TimePoint receivedAt;
    };
    struct GroupReport {
        TimePoint receivedAt;
        double shortDemand = 0;
        std::size_t vmCount = 0;
        std::unordered_map<std::uint32_t, GroupEntry> entries;
    };

    std::map<Ticket, Item> items_;
    std::map<EndpointId, std::vector<Ticket>> ticketsByEndpoint_;
    std::map<VmId, PeerReport> peers_; ///< Reports of the VMs of the own group.
    std::map<VmGroup, GroupReport> groups_; ///< Digests of the other groups.
    Ticket nextTicket_ = 1;
    double shortDemand_ = 0; ///< As of shortDemandAt_.
    TimePoint shortDemandAt_{};
    std::optional<TimePoint> firstListedAt_; ///< When the VM list was first read.
    std::size_t expectedPeers_ = 0;
    std::uint64_t revision_ = 0;
    bool longPromptStarted_ = false;
};

}
