#pragma once

#include "base/mailbox.h"
#include "base/metrics.h"
#include "control/configstate.h"
#include "control/controlsettings.h"
#include "control/fleetsnapshot.h"
#include "control/memoryreclaimer.h"
#include "control/peerclient.h"
#include "control/udpsocket.h"
#include "control/wakeup.h"
#include "membership/endpointtracker.h"
#include "membership/membership.h"
#include "platform/endpointobserver.h"
#include "platform/vmlist.h"

#include <atomic>
#include <functional>
#include <map>
#include <set>
#include <thread>
#include <variant>
#include <vector>

namespace Lentillock
{

struct EndpointPolled {
    EndpointId endpoint;
    std::optional<LoadReport> load;
};

struct VmsListed {
    std::vector<VmListEntry> vms;
};

struct ConfigLoaded {
    ConfigStatePtr state;
};

struct FaultReported {
    EndpointId endpoint;
    ReportedFault fault = ReportedFault::Silent;
    std::string generation;
};

struct EntryConnected {
    std::string address;
    std::uint64_t incarnation = 0;
};

struct AllocationsListed {
    EndpointId endpoint;
    std::vector<AllocationRecord> allocations;
};

struct OwnerReplied {
    OwnerReply reply;
};

struct ReclaimFailed {
    ReclaimAction action;
};

struct LeaveRequested {
};

using FleetMessage
    = std::variant<EndpointPolled, VmsListed, ConfigLoaded, FaultReported, EntryConnected, AllocationsListed, OwnerReplied, ReclaimFailed, LeaveRequested>;

/// Task that owns the gossip socket, membership, the endpoint states and the memory reclaimer. Other tasks send it messages with post().
class FleetTask
{
public:
    /// Longest time between two snapshots. Each is sent on the WatchView streams and serves as their heartbeat.
    static constexpr milliseconds HeartbeatInterval{500};
    /// Minimum time between two snapshots, so that changes in quick succession are published together.
    static constexpr milliseconds PublishDelay{20};

    using PublishCallback = std::function<void(const FleetSnapshotPtr &)>;

    FleetTask(const ControlSettings &settings, Member self, UdpSocket socket, Metrics &metrics, PublishCallback publish);
    FleetTask(const FleetTask &) = delete;
    FleetTask &operator=(const FleetTask &) = delete;
    ~FleetTask();

    void post(FleetMessage message);

private:
    void run();
    void waitForInput();
    void receiveDatagrams(TimePoint now);
    void advance(TimePoint now);
    void pollEndpoints(TimePoint now);
    void poll(const EndpointId &endpoint);
    void exchangeRumors();
    void updateReclaimer();
    void updateReady();
    void publishIfDue(TimePoint now);
    void publish(TimePoint now);
    void send(const std::vector<OutgoingGossip> &messages);
    void perform(const std::vector<ReclaimAction> &actions);
    void performAction(const ListAllocations &action);
    void performAction(const ReclaimAllocation &action);
    void performAction(const QueryOwner &action);

    void handle(TimePoint now, const EndpointPolled &message);
    void handle(TimePoint now, const VmsListed &message);
    void handle(TimePoint now, const ConfigLoaded &message);
    void handle(TimePoint now, const FaultReported &message);
    void handle(TimePoint now, const EntryConnected &message);
    void handle(TimePoint now, const AllocationsListed &message);
    void handle(TimePoint now, const OwnerReplied &message);
    void handle(TimePoint now, const ReclaimFailed &message);
    void handle(TimePoint now, const LeaveRequested &message);

    ControlSettings settings_;
    UdpSocket socket_;
    Metrics &metrics_;
    PublishCallback publish_;
    Membership membership_;
    EndpointTracker tracker_;
    MemoryReclaimer reclaimer_;
    WakeUp wakeUp_;
    Mailbox<FleetMessage> mailbox_;
    PeerClient peerClient_; ///< Declared after the mailbox to be destroyed before it, since the callbacks of cancelled calls post to it.
    std::map<EndpointId, std::string> addresses_; ///< Addresses of all endpoints of the serving document.
    std::vector<EndpointId> engines_;
    std::vector<EndpointId> observedEndpoints_;
    std::set<EndpointId> pollsInFlight_;
    std::set<EndpointId> needsNewConnection_; ///< Endpoints whose next poll must open a new connection: after a failed poll, and for urgent polls.
    ConfigStatePtr config_;
    TimePoint nextPoll_;
    TimePoint lastPublish_;
    std::uint64_t publishedMembershipRevision_ = 0;
    std::uint64_t publishedEndpointRevision_ = 0;
    std::uint64_t reclaimerRevision_ = 0;
    std::uint64_t sequence_ = 0;
    std::atomic<bool> stopping_ = false;
    EndpointObserver observer_;
    std::thread thread_;
};

}
