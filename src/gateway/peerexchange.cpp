#include "gateway/peerexchange.h"

#include "base/hash.h"

#include <algorithm>

namespace Lentillock
{

namespace
{

using boost::asio::ip::udp;

/// Changes of this VM's load are collected for this time before they are reported.
constexpr Duration ReportPeriod = 15ms;

/// Key by which the VMs are ranked for reading the store.
constexpr const char *ReaderKey = "store-reader";

/// In a large fleet reports are collected for longer, so that the cost of a VM grows with the fleet and not with its square.
constexpr Duration ReportPeriodPerPeer = 1500us;

/// A report is sent at least this often.
constexpr Duration IdleReportPeriod = 250ms;
constexpr Duration IdleReportPeriodPerPeer = 12ms;

/// A peer that has been silent for this long gets reports only with the idle period.
constexpr Duration SilentAfter = 2s;

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
    // Reports of an earlier process of this VM have lower numbers.
    sequence_ = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    receive();
    reportWhenIdle(monotonicNow());
}

void PeerExchange::reportWhenIdle(TimePoint now)
{
    const Duration period = std::max(IdleReportPeriod, IdleReportPeriodPerPeer * static_cast<int>(peers_.size()));
    context_.timers.subscribeOnce(now + period, [this](TimePoint due) {
        updateRank(due);
        report(due, true);
        reportWhenIdle(due);
    });
}

void PeerExchange::scheduleReport(TimePoint now)
{
    if (context_.load.ownRevision() == reportedRevision_ || (scheduled_ && !context_.load.hasStartedLongPrompt())) {
        return;
    }
    if (context_.load.takeStartedLongPrompt()) {
        report(now, false);
        return;
    }
    scheduled_ = true;
    const Duration period = std::max(ReportPeriod, ReportPeriodPerPeer * static_cast<int>(peers_.size()));
    context_.timers.subscribeOnce(now + period, [this](TimePoint due) {
        scheduled_ = false;
        report(due, false);
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
    context_.load.setExpectedPeers(peers_.size(), now);
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
            // A VM that restarted with its clock set back is believed after it has been silent for a while.
            if (message->sequence > peer.lastSequence || now - peer.heardAt > SilentAfter) {
                peer = {.address = sender_, .lastSequence = message->sequence, .heardAt = now, .view = message->view};
                compareViews(message->view, now);
                context_.load.applyPeerReport(message->vm, message->loads, message->shortDemand, now);
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

void PeerExchange::updateRank(TimePoint now)
{
    // The order is the same on all VMs that hear each other; a VM that is silent does not count.
    const std::uint64_t own = rendezvousScore(ReaderKey, context_.settings.vm.value());
    context_.readerRank = static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [&](const auto &peer) {
        return now - peer.second.heardAt < SilentAfter && rendezvousScore(ReaderKey, peer.first.value()) > own;
    }));
}

std::optional<std::string> PeerExchange::freshPeer(TimePoint now) const
{
    const auto age = [now](const Peer &peer) { return peer.view.endpointAge + (now - peer.heardAt); };
    const auto freshest
        = std::min_element(peers_.begin(), peers_.end(), [&age](const auto &left, const auto &right) { return age(left.second) < age(right.second); });
    if (freshest == peers_.end() || age(freshest->second) > SilentAfter) {
        return std::nullopt;
    }
    return freshest->second.address.address().to_string();
}

void PeerExchange::announceView()
{
    report(monotonicNow(), false);
}

void PeerExchange::report(TimePoint now, bool toSilentPeers)
{
    reportedRevision_ = context_.load.ownRevision();
    const std::string bytes = encodeLoadReport({.vm = context_.settings.vm,
                                                .sequence = ++sequence_,
                                                .view = ownView(now),
                                                .shortDemand = context_.load.ownShortDemand(now),
                                                .loads = context_.load.ownReport(now)});
    for (const auto &[vm, peer] : peers_) {
        if (!toSilentPeers && now - peer.heardAt > SilentAfter) {
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
