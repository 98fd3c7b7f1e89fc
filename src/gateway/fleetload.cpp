#include "gateway/fleetload.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Lentillock
{

namespace
{

/// Every VM reports at least twice within this time. The requests of a VM that does not are assumed to have ended with it.
constexpr Duration PeerReportLifetime = 2s;

/// Fraction of the pending prefill that is assumed to remain until the first event arrives, however late that is.
constexpr double MinRemainingPrefillFraction = 0.1;

/// Time constant of the exponential average over the arrivals of short requests.
constexpr double DemandWindowMs = 700;

/// The other VMs report to a new VM within this time. Reports of the given fraction of them are sufficient before it has passed.
constexpr Duration InitialReportWait = 1s;
constexpr double MinReportedFraction = 0.7;

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
    return std::max(MinRemainingPrefillFraction * pendingPrefillMs, pendingPrefillMs - oldestPendingPrefillAgeMs);
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
    const bool enoughPeersReported = static_cast<double>(peers_.size()) >= MinReportedFraction * static_cast<double>(expectedPeers_);
    return peersReportDemand && enoughPeersReported;
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
    return longPromptStarted_;
}

bool FleetLoad::takeStartedLongPrompt()
{
    return std::exchange(longPromptStarted_, false);
}

std::size_t FleetLoad::peerCount() const
{
    return peers_.size();
}

}
