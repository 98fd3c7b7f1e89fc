#include "gateway/fleetload.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Lentillock
{

namespace
{

/// A VM reports at least twice in this time; after it, its work is taken to have ended with it.
constexpr Duration PeerReportLifetime = 2s;

/// Part of the reading that is taken to remain for as long as no first event has come.
constexpr double UnreadFloor = 0.1;

/// Time over which the arrivals of short requests are averaged.
constexpr double DemandWindowMs = 700;

/// Time in which the VMs report to one that has just been announced, and the part of them whose reports suffice before.
constexpr Duration ReportsSettleTime = 1s;
constexpr double HeardPart = 0.7;

}

std::uint32_t endpointHash(const EndpointId &endpoint)
{
    return static_cast<std::uint32_t>(stableHash(endpoint.value()));
}

EndpointLoad &EndpointLoad::operator+=(const EndpointLoad &other)
{
    requests += other.requests;
    shortRequests += other.shortRequests;
    longRequests += other.longRequests;
    pendingPrefillMs += other.pendingPrefillMs;
    pendingLongPrefillMs += other.pendingLongPrefillMs;
    oldestPendingPrefillAgeMs = std::max(oldestPendingPrefillAgeMs, other.oldestPendingPrefillAgeMs);
    memoryTokens += other.memoryTokens;
    return *this;
}

double EndpointLoad::remainingPrefillMs() const
{
    return std::max(UnreadFloor * pendingPrefillMs, pendingPrefillMs - oldestPendingPrefillAgeMs);
}

double EndpointLoad::remainingLongPrefillMs() const
{
    return pendingPrefillMs > 0 ? remainingPrefillMs() * pendingLongPrefillMs / pendingPrefillMs : 0;
}

FleetLoad::Ticket FleetLoad::begin(const EndpointId &endpoint, const WorkItem &item, TimePoint now)
{
    const Ticket ticket = nextTicket_++;
    items_.emplace(ticket, Item{.endpoint = endpoint, .work = item, .startedAt = now});
    ticketsByEndpoint_[endpoint].push_back(ticket);
    ++revision_;
    longStarted_ = longStarted_ || item.role == WorkRole::LongPrompt;
    if (item.role == WorkRole::ShortPrompt) {
        shortDemand_ = ownShortDemand(now) + item.decodeMs / DemandWindowMs;
        shortDemandAt_ = now;
    }
    return ticket;
}

void FleetLoad::finishPrefill(Ticket ticket)
{
    const auto item = items_.find(ticket);
    if (item != items_.end() && item->second.isReading) {
        item->second.isReading = false;
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

void FleetLoad::setExpectedPeers(std::size_t peers, TimePoint now)
{
    listedAt_ = listedAt_.value_or(now);
    listedPeers_ = peers;
}

bool FleetLoad::includesPeers(TimePoint now) const
{
    if (!listedAt_ || now - *listedAt_ > ReportsSettleTime) {
        return listedAt_.has_value();
    }
    // VMs without any demand may have just started themselves, and callers may be about to reach all of them at once.
    const bool haveDemand = totalShortDemand(now) > ownShortDemand(now);
    const bool areHeard = static_cast<double>(peers_.size()) >= HeardPart * static_cast<double>(listedPeers_);
    return haveDemand && areHeard;
}

void FleetLoad::expirePeers(TimePoint now)
{
    std::erase_if(peers_, [now](const auto &peer) { return now - peer.second.receivedAt > PeerReportLifetime; });
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
        if (item.isReading) {
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
        const auto found = report.loads.find(hash);
        if (found == report.loads.end()) {
            continue;
        }
        EndpointLoad load = found->second;
        load.oldestPendingPrefillAgeMs += load.pendingPrefillMs > 0 ? inMilliseconds(now - report.receivedAt) : 0;
        total += load;
    }
    return total;
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
    return shortDemand_ * std::exp(-inMilliseconds(now - shortDemandAt_) / DemandWindowMs);
}

double FleetLoad::totalShortDemand(TimePoint now) const
{
    double total = ownShortDemand(now);
    for (const auto &[peer, report] : peers_) {
        total += report.shortDemand * std::exp(-inMilliseconds(now - report.receivedAt) / DemandWindowMs);
    }
    return total;
}

std::uint64_t FleetLoad::ownRevision() const
{
    return revision_;
}

bool FleetLoad::hasStartedLongPrompt() const
{
    return longStarted_;
}

bool FleetLoad::takeStartedLongPrompt()
{
    return std::exchange(longStarted_, false);
}

std::size_t FleetLoad::peerCount() const
{
    return peers_.size();
}

}
