#include "gateway/fleetload.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Lentillock
{

namespace
{

/// The requests of a VM or group that has not reported for this long are assumed to have ended with it. A VM that is only slow or loses some
/// datagrams reports several times within it.
constexpr Duration ReportLifetime = 9 * PeriodicReportInterval;

/// Time constant of the exponential average over the arrivals of short requests.
constexpr double DemandWindowMs = 700;

/// The other VMs are known to a new VM within this time. Reports of the given fraction of them are sufficient before it has passed.
constexpr Duration InitialReportWait = 1s;
constexpr double MinReportedFraction = 0.7;

/// Demand of @p shortDemand after @p age without new arrivals.
double decayedDemand(double shortDemand, Duration age)
{
    return shortDemand * std::exp(-inMilliseconds(age) / DemandWindowMs);
}

/// Load that was received @p age ago, with the pending prefill as old as it is now.
EndpointLoad agedLoad(EndpointLoad load, Duration age)
{
    load.oldestPendingPrefillAgeMs += load.pendingPrefillMs > 0 ? inMilliseconds(age) : 0;
    return load;
}

}

FleetLoad::Ticket FleetLoad::begin(const EndpointId &endpoint, const WorkItem &item, TimePoint now)
{
    const Ticket ticket = nextTicket_++;
    items_.emplace(ticket, Item{.endpoint = endpoint, .work = item, .startedAt = now});
    ticketsByEndpoint_[endpoint].push_back(ticket);
    ++revision_;
    longPromptStarted_ = longPromptStarted_ || item.role == WorkRole::LongPrompt;
    if (item.role == WorkRole::ShortPrompt) {
        shortDemand_ = ownShortDemand(now) + item.decodeMs / DemandWindowMs;
        shortDemandAt_ = now;
    }
    return ticket;
}

void FleetLoad::finishPrefill(Ticket ticket)
{
    const auto item = items_.find(ticket);
    if (item != items_.end() && item->second.isPrefilling) {
        item->second.isPrefilling = false;
        ++revision_;
    }
}

void FleetLoad::end(Ticket ticket)
{
    const auto item = items_.find(ticket);
    if (item == items_.end()) {
        return;
    }
    const auto tickets = ticketsByEndpoint_.find(item->second.endpoint);
    std::erase(tickets->second, ticket);
    if (tickets->second.empty()) {
        ticketsByEndpoint_.erase(tickets);
    }
    items_.erase(item);
    ++revision_;
}

void FleetLoad::applyPeerReport(const VmId &peer, const std::vector<EndpointLoadReport> &report, double shortDemand, TimePoint now)
{
    PeerReport &known = peers_[peer];
    known.receivedAt = now;
    known.shortDemand = shortDemand;
    known.loads.clear();
    for (const EndpointLoadReport &entry : report) {
        known.loads[entry.endpointHash] = entry.load;
    }
}

void FleetLoad::removePeer(const VmId &peer)
{
    peers_.erase(peer);
}

void FleetLoad::applyGroupDigest(const VmGroup &group, std::size_t vmCount, const std::vector<EndpointLoadReport> &entries, double shortDemand, TimePoint now)
{
    std::erase_if(groups_, [&group](const auto &other) { return other.first != group && other.first.overlaps(group); });
    GroupReport &known = groups_[group];
    known.receivedAt = now;
    known.shortDemand = shortDemand;
    known.vmCount = vmCount;
    for (const EndpointLoadReport &entry : entries) {
        if (entry.load == EndpointLoad{}) {
            known.entries.erase(entry.endpointHash);
        } else {
            known.entries.insert_or_assign(entry.endpointHash, GroupEntry{entry.load, now});
        }
    }
}

std::vector<EndpointLoadReport> FleetLoad::groupEntries(const VmGroup &group, TimePoint now) const
{
    std::vector<EndpointLoadReport> entries;
    if (const auto found = groups_.find(group); found != groups_.end()) {
        for (const auto &[hash, entry] : found->second.entries) {
            entries.push_back({hash, agedLoad(entry.load, now - entry.receivedAt)});
        }
    }
    return entries;
}

void FleetLoad::setOwnGroup(const VmGroup &ownGroup)
{
    std::erase_if(groups_, [&ownGroup](const auto &group) { return group.first.overlaps(ownGroup); });
}

void FleetLoad::setExpectedPeers(std::size_t count, TimePoint now)
{
    firstListedAt_ = firstListedAt_.value_or(now);
    expectedPeers_ = count;
}

bool FleetLoad::includesPeers(TimePoint now) const
{
    if (!firstListedAt_ || now - *firstListedAt_ > InitialReportWait) {
        return firstListedAt_.has_value();
    }
    // VMs that report no demand may have just started as well, in which case callers may reconnect to all of them at the same time.
    const bool peersReportDemand = totalShortDemand(now) > ownShortDemand(now);
    const bool enoughPeersReported = static_cast<double>(peerCount()) >= MinReportedFraction * static_cast<double>(expectedPeers_);
    return peersReportDemand && enoughPeersReported;
}

void FleetLoad::expirePeers(TimePoint now)
{
    const auto isExpired = [now](const auto &report) { return now - report.second.receivedAt > ReportLifetime; };
    std::erase_if(peers_, isExpired);
    std::erase_if(groups_, isExpired);
    for (auto &[group, report] : groups_) {
        std::erase_if(report.entries, isExpired);
    }
}

EndpointLoad FleetLoad::ownLoad(const EndpointId &endpoint, TimePoint now) const
{
    EndpointLoad load;
    const auto tickets = ticketsByEndpoint_.find(endpoint);
    if (tickets == ticketsByEndpoint_.end()) {
        return load;
    }
    for (const Ticket ticket : tickets->second) {
        const Item &item = items_.at(ticket);
        load.requests += item.work.role == WorkRole::Helper ? 0 : 1;
        load.shortRequests += item.work.role == WorkRole::ShortPrompt ? 1 : 0;
        load.longRequests += item.work.role == WorkRole::LongPrompt ? 1 : 0;
        load.memoryTokens += item.work.memoryTokens;
        if (item.isPrefilling) {
            load.pendingPrefillMs += item.work.prefillMs;
            load.pendingLongPrefillMs += item.work.role == WorkRole::ShortPrompt ? 0 : item.work.prefillMs;
            load.oldestPendingPrefillAgeMs = std::max(load.oldestPendingPrefillAgeMs, inMilliseconds(now - item.startedAt));
        }
    }
    return load;
}

EndpointLoad FleetLoad::totalLoad(const EndpointId &endpoint, TimePoint now) const
{
    EndpointLoad total = ownLoad(endpoint, now);
    const std::uint32_t hash = endpointHash(endpoint);
    for (const auto &[peer, report] : peers_) {
        if (const auto found = report.loads.find(hash); found != report.loads.end()) {
            total += agedLoad(found->second, now - report.receivedAt);
        }
    }
    for (const auto &[group, report] : groups_) {
        if (const auto found = report.entries.find(hash); found != report.entries.end()) {
            total += agedLoad(found->second.load, now - found->second.receivedAt);
        }
    }
    return total;
}

LoadSums FleetLoad::groupSums(TimePoint now) const
{
    LoadSums sums;
    for (const EndpointLoadReport &own : ownReport(now)) {
        sums[own.endpointHash] += own.load;
    }
    for (const auto &[peer, report] : peers_) {
        for (const auto &[hash, load] : report.loads) {
            sums[hash] += agedLoad(load, now - report.receivedAt);
        }
    }
    return sums;
}

std::vector<EndpointLoadReport> FleetLoad::ownReport(TimePoint now) const
{
    std::vector<EndpointLoadReport> report;
    report.reserve(ticketsByEndpoint_.size());
    for (const auto &[endpoint, tickets] : ticketsByEndpoint_) {
        report.push_back({endpointHash(endpoint), ownLoad(endpoint, now)});
    }
    return report;
}

double FleetLoad::ownShortDemand(TimePoint now) const
{
    return decayedDemand(shortDemand_, now - shortDemandAt_);
}

double FleetLoad::groupShortDemand(TimePoint now) const
{
    double total = ownShortDemand(now);
    for (const auto &[peer, report] : peers_) {
        total += decayedDemand(report.shortDemand, now - report.receivedAt);
    }
    return total;
}

double FleetLoad::totalShortDemand(TimePoint now) const
{
    double total = groupShortDemand(now);
    for (const auto &[group, report] : groups_) {
        total += decayedDemand(report.shortDemand, now - report.receivedAt);
    }
    return total;
}

std::uint64_t FleetLoad::ownRevision() const
{
    return revision_;
}

bool FleetLoad::hasStartedLongPrompt() const
{
    return longPromptStarted_;
}

bool FleetLoad::takeStartedLongPrompt()
{
    return std::exchange(longPromptStarted_, false);
}

std::size_t FleetLoad::groupPeerCount() const
{
    return peers_.size();
}

std::size_t FleetLoad::peerCount() const
{
    std::size_t count = peers_.size();
    for (const auto &[group, report] : groups_) {
        count += report.vmCount;
    }
    return count;
}

std::vector<Duration> FleetLoad::groupAges(TimePoint now) const
{
    std::vector<Duration> ages;
    for (const auto &[group, report] : groups_) {
        ages.push_back(now - report.receivedAt);
    }
    return ages;
}

}
