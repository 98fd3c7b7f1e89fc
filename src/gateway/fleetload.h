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

/// Requests that one VM, or all VMs together, have in progress on one endpoint.
struct EndpointLoad {
    double requests = 0; ///< Sent and not finished, without those that only use the endpoint as a helper.
    double shortRequests = 0; ///< Requests with short prompts. A long prefill on the endpoint delays them.
    double longRequests = 0; ///< Requests with long prompts that decode here, now or after their prefill.
    double pendingPrefillMs = 0; ///< Total prefill time, by the engine model, of all prompts without a first event.
    double pendingLongPrefillMs = 0; ///< The part of pendingPrefillMs that belongs to long prompts.
    double oldestPendingPrefillAgeMs = 0; ///< Time since the first of these prompts was sent.
    double memoryTokens = 0; ///< KV cache memory, in tokens.

    auto operator<=>(const EndpointLoad &) const = default;
    EndpointLoad &operator+=(const EndpointLoad &other);

    /// Prefill time that remains. The endpoint computes one prompt at a time, regardless of the VM that sent it.
    [[nodiscard]] double remainingPrefillMs() const;
    [[nodiscard]] double remainingLongPrefillMs() const;
};

/// Load that one VM reports for one endpoint.
struct EndpointLoadReport {
    std::uint32_t endpointHash = 0;
    EndpointLoad load;

    auto operator<=>(const EndpointLoadReport &) const = default;
};

/// Hash of the endpoint ID that identifies the endpoint in load reports. Equal on all VMs.
std::uint32_t endpointHash(const EndpointId &endpoint);

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

/// Tracks the load of each endpoint: the requests of this VM exactly, those of other VMs as of their last report.
class FleetLoad
{
public:
    /// Identifies the load of one request from begin() to end().
    using Ticket = std::uint64_t;

    Ticket begin(const EndpointId &endpoint, const WorkItem &item, TimePoint now);
    /// Records that the prefill is complete and the request decodes from now on.
    void finishPrefill(Ticket ticket);
    void end(Ticket ticket);

    /// Replaces the load reported by the VM @p peer.
    void applyPeerReport(const VmId &peer, const std::vector<EndpointLoadReport> &report, double shortDemand, TimePoint now);

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

    /// Expected number of concurrent short requests at the recent arrival rate, of this VM and of all VMs.
    [[nodiscard]] double ownShortDemand(TimePoint now) const;
    [[nodiscard]] double totalShortDemand(TimePoint now) const;

    /// Incremented with each change of this VM's own load.
    [[nodiscard]] std::uint64_t ownRevision() const;

    /// Whether a long prompt has started that has to be reported to the other VMs immediately.
    [[nodiscard]] bool hasStartedLongPrompt() const;
    /// Returns hasStartedLongPrompt() and resets it.
    bool takeStartedLongPrompt();

    /// Number of VMs whose reports are in use.
    [[nodiscard]] std::size_t peerCount() const;

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

    std::map<Ticket, Item> items_;
    std::map<EndpointId, std::vector<Ticket>> ticketsByEndpoint_;
    std::map<VmId, PeerReport> peers_;
    Ticket nextTicket_ = 1;
    double shortDemand_ = 0; ///< As of shortDemandAt_.
    TimePoint shortDemandAt_{};
    std::optional<TimePoint> firstListedAt_; ///< When the VM list was first read.
    std::size_t expectedPeers_ = 0;
    std::uint64_t revision_ = 0;
    bool longPromptStarted_ = false;
};

}
