#include "gateway/peerexchange.h"

#include "base/log.h"

namespace Lentillock
{

namespace
{

using boost::asio::ip::udp;

/// Changes of this VM's load are collected for this time before they are reported.
constexpr Duration ReportPeriod = 15ms;

/// A report is sent at least this often.
constexpr Duration IdleReportPeriod = 250ms;

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
    const TimePoint now = std::chrono::steady_clock::now();
    context_.timers.subscribePeriodic(now + IdleReportPeriod, IdleReportPeriod, [this](TimePoint due) { report(due, true); });
}

void PeerExchange::scheduleReport(TimePoint now)
{
    if (scheduled_ || context_.load.ownRevision() == reportedRevision_) {
        return;
    }
    scheduled_ = true;
    context_.timers.subscribeOnce(now + ReportPeriod, [this](TimePoint due) {
        scheduled_ = false;
        report(due, false);
    });
}

void PeerExchange::addPeers(const std::vector<PeerVm> &peers)
{
    for (const PeerVm &peer : peers) {
        boost::system::error_code error;
        const auto ip = boost::asio::ip::make_address_v4(peer.ip, error);
        if (!error && peer.vm != context_.settings.vm) {
            peers_[peer.vm].address = udp::endpoint(ip, context_.settings.peerPort);
        }
    }
}

void PeerExchange::receive()
{
    socket_.async_receive_from(boost::asio::buffer(buffer_), sender_, [this](const boost::system::error_code &error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        const auto message = error ? std::nullopt : decodeLoadReport({buffer_.data(), size});
        if (message && message->vm != context_.settings.vm) {
            const TimePoint now = std::chrono::steady_clock::now();
            Peer &peer = peers_[message->vm];
            // A VM that restarted with its clock set back is believed after it has been silent for a while.
            if (message->sequence > peer.lastSequence || now - peer.heardAt > SilentAfter) {
                peer = {.address = sender_, .lastSequence = message->sequence, .heardAt = now};
                context_.load.applyPeerReport(message->vm, message->loads, message->shortDemand, now);
            }
        }
        receive();
    });
}

void PeerExchange::report(TimePoint now, bool toSilentPeers)
{
    reportedRevision_ = context_.load.ownRevision();
    const std::string bytes = encodeLoadReport({.vm = context_.settings.vm,
                                                .sequence = ++sequence_,
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
