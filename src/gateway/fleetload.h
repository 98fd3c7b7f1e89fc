#pragma once

#include "base/identifier.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Lentillock
{

/// Work that one VM, or all VMs together, have in progress at one endpoint.
struct EndpointLoad {
    double requests = 0; ///< Sent and not finished.
    double shortRequests = 0; ///< Requests that suffer when the endpoint reads a long prompt.
    double longRequests = 0; ///< Requests with long prompts that generate here, now or after the prompt has been read.
    double pendingPrefillMs = 0; ///< Reading of all prompts whose first event has not come yet, at the pace of the published figures.
    double pendingLongPrefillMs = 0; ///< The part of pendingPrefillMs that belongs to long prompts.
    double oldestPendingPrefillAgeMs = 0; ///< Time since the first of these prompts was sent.
    double memoryTokens = 0;

    auto operator<=>(const EndpointLoad &) const = default;
    EndpointLoad &operator+=(const EndpointLoad &other);

    /// Reading that is still to be done. The endpoint reads one prompt after the other, whichever VM sent it.
    [[nodiscard]] double remainingPrefillMs() const;
    [[nodiscard]] double remainingLongPrefillMs() const;
};

/// The load that one VM reports for one endpoint.
struct EndpointLoadReport {
    std::uint32_t endpointHash = 0; ///< endpointHash() of the endpoint's id.
    EndpointLoad load;

    auto operator<=>(const EndpointLoadReport &) const = default;
};

/// Short name of an endpoint in reports, equal on all VMs.
std::uint32_t endpointHash(const EndpointId &endpoint);

/// What a request does at an endpoint.
enum class WorkRole {
    ShortPrompt,
    LongPrompt,
    Helper, ///< A part of a long prompt is read here; the answer is generated elsewhere.
};

/// One request's part in the load of an endpoint.
struct WorkItem {
    double prefillMs = 0;
    double memoryTokens = 0;
    double decodeMs = 0; ///< Expected time to generate the answer.
    WorkRole role = WorkRole::ShortPrompt;
};

/// Tracks the work in progress at each endpoint: this VM's own requests exactly, those of other VMs from their last report.
class FleetLoad
{
public:
    using Ticket = std::uint64_t;

    Ticket begin(const EndpointId &endpoint, const WorkItem &item, TimePoint now);
    /// The prompt has been read; the request generates from now on.
    void finishPrefill(Ticket ticket);
    void end(Ticket ticket);

    /// Replaces what is known of the VM @p peer.
    void applyPeerReport(const VmId &peer, const std::vector<EndpointLoadReport> &report, double shortDemand, TimePoint now);

    /// The list of VMs has been read; @p peers of them are not this one.
    void setExpectedPeers(std::size_t peers, TimePoint now);

    /// Whether the loads include what the other VMs have sent, as far as reports go. Not so after a start, until they have arrived.
    [[nodiscard]] bool includesPeers(TimePoint now) const;

    /// Drops reports of VMs that have been silent.
    void expirePeers(TimePoint now);

    [[nodiscard]] EndpointLoad ownLoad(const EndpointId &endpoint, TimePoint now) const;
    [[nodiscard]] EndpointLoad totalLoad(const EndpointId &endpoint, TimePoint now) const;
    [[nodiscard]] std::vector<EndpointLoadReport> ownReport(TimePoint now) const;

    /// Short requests that generate at the same time if they go on arriving as in the last second, of this VM and of all VMs.
    [[nodiscard]] double ownShortDemand(TimePoint now) const;
    [[nodiscard]] double totalShortDemand(TimePoint now) const;

    /// Rises with each change of this VM's own work.
    [[nodiscard]] std::uint64_t ownRevision() const;

    /// Whether a long prompt has been started that the other VMs have to know of at once.
    [[nodiscard]] bool hasStartedLongPrompt() const;
    bool takeStartedLongPrompt();

    /// VMs whose reports are in use.
    [[nodiscard]] std::size_t peerCount() const;

private:
    struct Item {
        EndpointId endpoint;
        WorkItem work;
        TimePoint startedAt;
        bool isReading = true;
    };
    struct PeerReport {
        TimePoint receivedAt;
        double shortDemand = 0;
        std::unordered_map<std::uint32_t, EndpointLoad> loads;
    };

    std::map<Ticket, Item> items_;
    std::map<EndpointId, std::vector<Ticket>> ticketsByEndpoint_;
    std::map<VmId, PeerReport> peers_;
    Ticket nextTicket_ = 1;
    double shortDemand_ = 0; ///< As of shortDemandAt_.
    TimePoint shortDemandAt_{};
    std::optional<TimePoint> listedAt_; ///< When the list of VMs was first read.
    std::size_t listedPeers_ = 0;
    std::uint64_t revision_ = 0;
    bool longStarted_ = false;
};

}
