#include "gateway/peerexchange.h"

#include "base/hash.h"

#include <algorithm>

namespace Lentillock
{

namespace
{

using boost::asio::ip::udp;

/// Load changes within this time are combined into one report.
constexpr Duration ReportDelay = 15ms;

/// Key of the rendezvous hash that ranks the VMs for reading the store.
constexpr const char *ReaderRankKey = "store-reader";

/// The delay is at least this time per peer, so that the total cost of the reports on a VM grows linearly with the fleet and not quadratically.
constexpr Duration ReportDelayPerPeer = 1500us;

/// A report is sent at least this often, even without changes. The interval is at least the given time per peer.
constexpr Duration PeriodicReportInterval = 250ms;
constexpr Duration PeriodicReportIntervalPerPeer = 12ms;

/// A peer that has not reported for this long only gets the periodic reports.
constexpr Duration PeerTimeout = 2s;

}

PeerExchange::PeerExchange(GatewayContext &context)
    : context_(context)
    , socket_(context.io)
{
}

void PeerExchange::start()
{
    socket_.open(udp::v4());
    socket_.non_blocking(true);
    socket_.bind(udp::endpoint(boost::asio::ip::make_address_v4(context_.settings.ip), context_.settings.peerPort));
    // Starting at the current time keeps the numbers above those of an earlier process on this VM.
    sequence_ = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    receive();
    schedulePeriodicReport(monotonicNow());
}

void PeerExchange::schedulePeriodicReport(TimePoint now)
{
    const Duration delay = std::max(PeriodicReportInterval, PeriodicReportIntervalPerPeer * static_cast<int>(peers_.size()));
    context_.timers.scheduleOnce(now + delay, [this](TimePoint due) {
        updateReaderRank(due);
        sendReport(due, true);
        schedulePeriodicReport(due);
    });
}

void PeerExchange::scheduleReport(TimePoint now)
{
    if (context_.fleetLoad.ownRevision() == reportedRevision_ || (reportScheduled_ && !context_.fleetLoad.hasStartedLongPrompt())) {
        return;
    }
    if (context_.fleetLoad.takeStartedLongPrompt()) {
        sendReport(now, false);
        return;
    }
    reportScheduled_ = true;
    const Duration delay = std::max(ReportDelay, ReportDelayPerPeer * static_cast<int>(peers_.size()));
    context_.timers.scheduleOnce(now + delay, [this](TimePoint due) {
        reportScheduled_ = false;
        sendReport(due, false);
    });
}

void PeerExchange::addPeers(const std::vector<PeerVm> &peers, TimePoint now)
{
    for (const PeerVm &peer : peers) {
        boost::system::error_code error;
        const auto ip = boost::asio::ip::make_address_v4(peer.ip, error);
        if (!error && peer.vm != context_.settings.vm) {
            peers_[peer.vm].address = udp::endpoint(ip, context_.settings.peerPort);
        }
    }
    context_.fleetLoad.setExpectedPeers(peers_.size(), now);
}

void PeerExchange::receive()
{
    socket_.async_receive_from(boost::asio::buffer(buffer_), sender_, [this](const boost::system::error_code &error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        const auto message = error ? std::nullopt : decodeLoadReport({buffer_.data(), size});
        if (message && message->vm != context_.settings.vm) {
            const TimePoint now = monotonicNow();
            Peer &peer = peers_[message->vm];
            // After PeerTimeout without a report, lower numbers are accepted as well: the VM may have restarted with its clock set back.
            if (message->sequence > peer.lastSequence || now - peer.lastReportAt > PeerTimeout) {
                peer = {.address = sender_, .lastSequence = message->sequence, .lastReportAt = now, .view = message->view};
                compareViews(message->view, now);
                context_.fleetLoad.applyPeerReport(message->vm, message->loads, message->shortDemand, now);
            }
        }
        receive();
    });
}

ViewReport PeerExchange::ownView(TimePoint now) const
{
    return {.planVersion = context_.plan ? context_.plan->version() : 0,
            .endpointOffset = context_.endpointOffset,
            .endpointDigest = context_.directory.digest(),
            .planAge = context_.planFreshness.readAge(now),
            .endpointAge = context_.endpointFreshness.readAge(now)};
}

void PeerExchange::compareViews(const ViewReport &peer, TimePoint now)
{
    const ViewReport own = ownView(now);
    if (peer.planVersion == own.planVersion) {
        context_.planFreshness.recordConfirmation(peer.planAge, now);
    } else if (peer.planVersion > own.planVersion) {
        context_.planFreshness.markOutdated();
    }
    if (peer.endpointDigest == own.endpointDigest) {
        context_.endpointFreshness.recordConfirmation(peer.endpointAge, now);
    } else if (peer.endpointOffset > own.endpointOffset) {
        context_.endpointFreshness.markOutdated();
    }
}

void PeerExchange::updateReaderRank(TimePoint now)
{
    // All VMs that receive each other's reports compute the same order. VMs whose reports have stopped are left out.
    const std::uint64_t own = rendezvousScore(ReaderRankKey, context_.settings.vm.value());
    context_.readerRank = static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [&](const auto &peer) {
        return now - peer.second.lastReportAt < PeerTimeout && rendezvousScore(ReaderRankKey, peer.first.value()) > own;
    }));
}

std::optional<std::string> PeerExchange::findUpToDatePeer(TimePoint now) const
{
    const auto age = [now](const Peer &peer) { return peer.view.endpointAge + (now - peer.lastReportAt); };
    const auto freshest
        = std::min_element(peers_.begin(), peers_.end(), [&age](const auto &left, const auto &right) { return age(left.second) < age(right.second); });
    if (freshest == peers_.end() || age(freshest->second) > PeerTimeout) {
        return std::nullopt;
    }
    return freshest->second.address.address().to_string();
}

void PeerExchange::sendViewUpdate()
{
    sendReport(monotonicNow(), false);
}

void PeerExchange::sendReport(TimePoint now, bool includeUnresponsivePeers)
{
    reportedRevision_ = context_.fleetLoad.ownRevision();
    const std::string bytes = encodeLoadReport({.vm = context_.settings.vm,
                                                .sequence = ++sequence_,
                                                .view = ownView(now),
                                                .shortDemand = context_.fleetLoad.ownShortDemand(now),
                                                .loads = context_.fleetLoad.ownReport(now)});
    for (const auto &[vm, peer] : peers_) {
        if (!includeUnresponsivePeers && now - peer.lastReportAt > PeerTimeout) {
            continue;
        }
        boost::system::error_code error;
        socket_.send_to(boost::asio::buffer(bytes), peer.address, 0, error);
        if (error) {
            context_.metrics.increment("lentillock_load_reports_dropped_total");
        }
    }
}

}
