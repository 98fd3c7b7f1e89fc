#include "gateway/fleetload.h"

#include "base/hash.h"

#include <algorithm>

namespace Lentillock
{

namespace
{

/// A VM reports at least four times in this time; after it, its work is taken to have ended with it.
constexpr Duration PeerReportLifetime = 1s;

double elapsedMs(TimePoint since, TimePoint now)
{
    return std::chrono::duration<double, std::milli>(now - since).count();
}

}

std::uint32_t endpointHash(const EndpointId &endpoint)
{
    return static_cast<std::uint32_t>(stableHash(endpoint.value()));
}

EndpointLoad &EndpointLoad::operator+=(const EndpointLoad &other)
{
    requests += other.requests;
    shortWriters += other.shortWriters;
    readMs += other.readMs;
    longReadMs += other.longReadMs;
    memoryTokens += other.memoryTokens;
    return *this;
}

FleetLoad::Ticket FleetLoad::begin(const EndpointId &endpoint, const WorkItem &item, TimePoint now)
{
    const Ticket ticket = nextTicket_++;
    items_.emplace(ticket, Item{.endpoint = endpoint, .work = item, .startedAt = now});
    ticketsByEndpoint_[endpoint].push_back(ticket);
    ++revision_;
    return ticket;
}

void FleetLoad::firstEvent(Ticket ticket)
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

void FleetLoad::applyPeerReport(const VmId &peer, const std::vector<EndpointLoadReport> &report, TimePoint now)
{
    PeerReport &known = peers_[peer];
    known.receivedAt = now;
    known.loads.clear();
    for (const EndpointLoadReport &entry : report) {
        known.loads[entry.endpointHash] = entry.load;
    }
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
    // Prompts are read one after the other, in the order in which they were sent.
    double shortReadMs = 0;
    TimePoint previousEnd{};
    for (const Ticket ticket : tickets->second) {
        const Item &item = items_.at(ticket);
        load.requests += 1;
        load.shortWriters += item.work.isLong ? 0 : 1;
        load.memoryTokens += item.work.memoryTokens;
        if (!item.isReading) {
            continue;
        }
        const TimePoint start = std::max(previousEnd, item.startedAt);
        previousEnd = start + std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(item.work.readMs));
        const double remaining = std::clamp(elapsedMs(now, previousEnd), 0.0, item.work.readMs);
        (item.work.isLong ? load.longReadMs : shortReadMs) += remaining;
    }
    load.readMs = load.longReadMs + shortReadMs;
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
        const double age = elapsedMs(report.receivedAt, now);
        load.readMs = std::max(0.0, load.readMs - age);
        load.longReadMs = std::max(0.0, load.longReadMs - age);
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

std::uint64_t FleetLoad::ownRevision() const
{
    return revision_;
}

std::size_t FleetLoad::peerCount() const
{
    return peers_.size();
}

}
