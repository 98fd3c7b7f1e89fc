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
    OwnerReply answer;
};

struct ReclaimFailed {
    ReclaimAction action;
};

struct LeaveRequested {
};

using FleetMessage
    = std::variant<EndpointPolled, VmsListed, ConfigLoaded, FaultReported, EntryConnected, AllocationsListed, OwnerReplied, ReclaimFailed, LeaveRequested>;

/// Task that owns the gossip socket, membership, the endpoint states and the memory reclaimer.
class FleetTask
{
public:
    /// A snapshot is published at least this often; it is the heartbeat of WatchView.
    static constexpr milliseconds HeartbeatInterval{500};
    /// Changes within this time are published together.
    static constexpr milliseconds PublishDelay{20};

    using Publish = std::function<void(const FleetSnapshotPtr &)>;

    FleetTask(const ControlSettings &settings, Member self, UdpSocket socket, Metrics &metrics, Publish publish);
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
    void applyFleetChange();
    void updateReady();
    void publishIfDue(TimePoint now);
    void publish(TimePoint now);
    void send(const std::vector<OutgoingGossip> &sends);
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
    Publish publish_;
    Membership membership_;
    EndpointTracker tracker_;
    MemoryReclaimer reclaimer_;
    WakeUp wakeUp_;
    Mailbox<FleetMessage> mailbox_;
    PeerClient peers_; ///< Destroyed before the mailbox, to which the callbacks of cancelled calls post.
    std::map<EndpointId, std::string> addresses_; ///< Of all endpoints of the document.
    std::vector<EndpointId> engines_;
    std::vector<EndpointId> observed_;
    std::set<EndpointId> polling_; ///< Endpoints with a poll in flight.
    std::set<EndpointId> missed_; ///< Endpoints whose next poll uses a new connection.
    ConfigStatePtr config_;
    TimePoint nextPoll_;
    TimePoint lastPublish_;
    std::uint64_t publishedMembers_ = 0;
    std::uint64_t publishedEndpoints_ = 0;
    std::uint64_t fleetRevision_ = 0;
    std::uint64_t sequence_ = 0;
    std::atomic<bool> stopping_ = false;
    EndpointObserver observer_;
    std::thread thread_;
};

}
