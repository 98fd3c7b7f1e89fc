#include "control/fleettask.h"

#include "base/log.h"
#include "control/gossipcodec.h"
#include "membership/endpointsubset.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <random>
#include <utility>

namespace Lentillock
{

namespace
{

/// Longest wait for input, since membership must be advanced regularly.
constexpr milliseconds MaxWait{100};
/// Maximum number of datagrams handled in one iteration of the task's loop, so that they do not delay its other work.
constexpr int MaxDatagramsPerIteration = 256;
constexpr milliseconds OwnerQueryTimeout{1000};

TimePoint currentTime()
{
    return std::chrono::steady_clock::now();
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::vector<EntryInstance> entryInstances(const std::vector<Member> &members)
{
    std::vector<EntryInstance> entries;
    for (const Member &member : members) {
        if (member.entryIncarnation != 0) {
            entries.push_back({member.id, member.entryAddress, member.entryIncarnation});
        }
    }
    return entries;
}

std::string healthName(EndpointHealth health)
{
    constexpr std::array<const char *, 4> names{"live", "suspect", "leaving", "dead"};
    return names.at(static_cast<std::size_t>(health));
}

}

FleetTask::FleetTask(const ControlSettings &settings, Member self, UdpSocket socket, Metrics &metrics, PublishCallback publish)
    : settings_(settings)
    , socket_(std::move(socket))
    , metrics_(metrics)
    , publish_(std::move(publish))
    , membership_(std::move(self), randomSeed())
    , reclaimer_(settings.vm)
    , config_(std::make_shared<ConfigState>())
    , observer_(settings.pollTimeout)
{
    membership_.setSeeds(settings_.seeds);
    mailbox_.setWakeUp([this] { wakeUp_.signal(); });
    thread_ = std::thread([this] { run(); });
}

FleetTask::~FleetTask()
{
    stopping_ = true;
    wakeUp_.signal();
    thread_.join();
}

void FleetTask::post(FleetMessage message)
{
    mailbox_.post(std::move(message));
}

void FleetTask::run()
{
    while (!stopping_) {
        waitForInput();
        const TimePoint now = currentTime();
        receiveDatagrams(now);
        for (const FleetMessage &message : mailbox_.takeAll()) {
            std::visit([&](const auto &content) { handle(now, content); }, message);
        }
        advance(now);
    }
}

void FleetTask::waitForInput()
{
    std::array<pollfd, 2> descriptors{pollfd{socket_.descriptor(), POLLIN, 0}, pollfd{wakeUp_.descriptor(), POLLIN, 0}};
    ::poll(descriptors.data(), descriptors.size(), static_cast<int>(MaxWait.count()));
    wakeUp_.clear();
}

void FleetTask::receiveDatagrams(TimePoint now)
{
    for (int i = 0; i < MaxDatagramsPerIteration; ++i) {
        const auto datagram = socket_.receive();
        if (!datagram) {
            return;
        }
        metrics_.increment("lentillock_gossip_received_bytes_total", {}, datagram->data.size());
        const auto message = decodeGossip(datagram->data);
        if (!message) {
            metrics_.increment("lentillock_gossip_malformed_total");
            continue;
        }
        send(membership_.receive(now, datagram->source, *message));
    }
}

void FleetTask::send(const std::vector<OutgoingGossip> &messages)
{
    for (const OutgoingGossip &outgoing : messages) {
        const std::string data = encodeGossip(outgoing.message);
        metrics_.increment("lentillock_gossip_sent_bytes_total", {}, data.size());
        metrics_.increment("lentillock_gossip_sent_messages_total");
        socket_.send(outgoing.address, data);
    }
}

void FleetTask::advance(TimePoint now)
{
    send(membership_.advance(now));
    exchangeRumors();
    pollEndpoints(now);
    updateReclaimer();
    updateReady();
    perform(reclaimer_.advance(now));
    publishIfDue(now);
}

void FleetTask::exchangeRumors()
{
    for (const EndpointRumor &rumor : membership_.takeRumors()) {
        tracker_.applyRumor(rumor);
    }
    for (const EndpointRumor &rumor : tracker_.takeRumors()) {
        metrics_.increment("lentillock_endpoint_changes_total", {{"health", healthName(rumor.health)}});
        Log::write(Log::Level::Info, "endpoint_changed", {{"endpoint", rumor.endpoint.value()}, {"health", healthName(rumor.health)}});
        membership_.addRumor(rumor);
    }
}

void FleetTask::pollEndpoints(TimePoint now)
{
    for (const EndpointId &endpoint : tracker_.takeUrgentPolls()) {
        needsNewConnection_.insert(endpoint);
        poll(endpoint);
    }
    if (now < nextPoll_) {
        return;
    }
    nextPoll_ = now + settings_.pollInterval;
    for (const EndpointId &endpoint : observedEndpoints_) {
        poll(endpoint);
    }
}

void FleetTask::poll(const EndpointId &endpoint)
{
    if (!pollsInFlight_.insert(endpoint).second) {
        return;
    }
    const bool newConnection = needsNewConnection_.erase(endpoint) > 0;
    observer_.fetchLoad(addresses_.at(endpoint), newConnection, [this, endpoint](const std::optional<LoadReport> &load) {
        post(EndpointPolled{endpoint, load});
    });
}

void FleetTask::updateReclaimer()
{
    if (reclaimerRevision_ == membership_.revision()) {
        return;
    }
    reclaimerRevision_ = membership_.revision();
    reclaimer_.setFleet(engines_, membership_.liveVms());
    reclaimer_.setEntries(entryInstances(membership_.members()));
}

void FleetTask::updateReady()
{
    membership_.setReady(config_->ready);
}

void FleetTask::publishIfDue(TimePoint now)
{
    const bool changed = publishedMembershipRevision_ != membership_.revision() || publishedEndpointRevision_ != tracker_.revision();
    if (now >= lastPublish_ + HeartbeatInterval || (changed && now >= lastPublish_ + PublishDelay)) {
        publish(now);
    }
}

void FleetTask::publish(TimePoint now)
{
    lastPublish_ = now;
    publishedMembershipRevision_ = membership_.revision();
    publishedEndpointRevision_ = tracker_.revision();
    auto snapshot = std::make_shared<FleetSnapshot>();
    snapshot->sequence = ++sequence_;
    snapshot->endpoints = tracker_.states();
    snapshot->members = membership_.members();
    snapshot->liveVms = membership_.liveVms();
    snapshot->self = membership_.self();
    snapshot->refutations = membership_.refutations();
    snapshot->monitoredEngines = reclaimer_.engineCount();
    snapshot->releasedAllocations = reclaimer_.releaseCount();
    metrics_.setGauge("lentillock_members_live", static_cast<double>(snapshot->liveVms.size()));
    metrics_.setGauge("lentillock_endpoints_observed", static_cast<double>(snapshot->endpoints.size()));
    metrics_.setGauge("lentillock_reclaimer_engines", static_cast<double>(snapshot->monitoredEngines));
    publish_(snapshot);
}

void FleetTask::handle(TimePoint now, const EndpointPolled &message)
{
    pollsInFlight_.erase(message.endpoint);
    metrics_.increment("lentillock_polls_total", {{"result", message.load ? "answered" : "missed"}});
    if (message.load) {
        tracker_.pollSucceeded(now, message.endpoint, *message.load);
    } else {
        needsNewConnection_.insert(message.endpoint);
        tracker_.pollFailed(now, message.endpoint);
    }
}

void FleetTask::handle(TimePoint /*now*/, const VmsListed &message)
{
    tracker_.applyVmList(message.vms);
    std::vector<std::string> seeds = settings_.seeds;
    for (const VmListEntry &vm : message.vms) {
        if (vm.role == VmRole::Entry && std::ranges::find(seeds, vm.address) == seeds.end()) {
            seeds.push_back(vm.address);
        }
    }
    membership_.setSeeds(seeds);
}

void FleetTask::handle(TimePoint now, const ConfigLoaded &message)
{
    config_ = message.state;
    membership_.setConfigVersion(config_->version);
    addresses_.clear();
    engines_.clear();
    observedEndpoints_.clear();
    if (config_->document == nullptr) {
        return;
    }
    for (const Endpoint &endpoint : config_->document->endpoints) {
        addresses_[endpoint.id] = endpoint.address;
        if (endpoint.kind == EndpointKind::Engine) {
            engines_.push_back(endpoint.id);
        }
    }
    const std::vector<Endpoint> subset = endpointSubset(settings_.vm, config_->document->endpoints);
    for (const Endpoint &endpoint : subset) {
        observedEndpoints_.push_back(endpoint.id);
    }
    tracker_.setEndpoints(now, subset);
    reclaimer_.setFleet(engines_, membership_.liveVms());
}

void FleetTask::handle(TimePoint /*now*/, const FaultReported &message)
{
    metrics_.increment("lentillock_endpoint_reports_total");
    tracker_.report(message.endpoint, message.fault, message.generation);
}

void FleetTask::handle(TimePoint /*now*/, const EntryConnected &message)
{
    membership_.setEntry(message.address, message.incarnation);
}

void FleetTask::handle(TimePoint now, const AllocationsListed &message)
{
    std::vector<ListedAllocation> allocations;
    for (const AllocationRecord &record : message.allocations) {
        allocations.push_back({record.id, record.owner, record.remaining});
    }
    perform(reclaimer_.allocationsListed(now, message.endpoint, allocations));
}

void FleetTask::handle(TimePoint /*now*/, const OwnerReplied &message)
{
    perform(reclaimer_.ownerReplied(message.reply));
}

void FleetTask::handle(TimePoint now, const ReclaimFailed &message)
{
    metrics_.increment("lentillock_reclaim_failures_total");
    reclaimer_.actionFailed(now, message.action);
}

void FleetTask::handle(TimePoint now, const LeaveRequested & /*message*/)
{
    send(membership_.leave());
    publish(now);
}

void FleetTask::perform(const std::vector<ReclaimAction> &actions)
{
    for (const ReclaimAction &action : actions) {
        std::visit([this](const auto &content) { performAction(content); }, action);
    }
}

void FleetTask::performAction(const ListAllocations &action)
{
    const auto address = addresses_.find(action.endpoint);
    if (address == addresses_.end()) {
        return;
    }
    observer_.listAllocations(address->second, [this, action](const auto &allocations) {
        if (allocations) {
            post(AllocationsListed{action.endpoint, *allocations});
        } else {
            post(ReclaimFailed{action});
        }
    });
}

void FleetTask::performAction(const ReclaimAllocation &action)
{
    const auto address = addresses_.find(action.endpoint);
    if (address == addresses_.end()) {
        return;
    }
    metrics_.increment("lentillock_reclaimed_allocations_total");
    Log::write(Log::Level::Info, "allocation_reclaimed", {{"endpoint", action.endpoint.value()}, {"allocation", action.allocation.value()}});
    observer_.releaseAllocation(address->second, action.allocation, [this, action](bool released) {
        if (!released) {
            post(ReclaimFailed{action});
        }
    });
}

void FleetTask::performAction(const QueryOwner &action)
{
    peerClient_.queryActive(action.address, action.requests, OwnerQueryTimeout, [this, action](const std::optional<OwnerReply> &reply) {
        if (reply) {
            post(OwnerReplied{*reply});
        } else {
            post(ReclaimFailed{action});
        }
    });
}

}
