#include "gateway/peerexchange.h"

#include "base/log.h"

#include <algorithm>
#include <random>
#include <utility>

namespace Lentillock
{

namespace
{

using boost::asio::ip::udp;

/// A VM that has read the store longer ago is not asked for its lists.
constexpr Duration MaxPeerViewAge = 2s;

/// Label of each DatagramKind in the metrics.
constexpr std::array<const char *, 6> KindNames{"report", "introduction", "digest", "forwarded-digest", "endpoint-update", "crash-attribution"};

ExchangeIdentity identityOf(const GatewaySettings &settings)
{
    return {.vm = settings.vm,
            .zone = settings.zone,
            .ip = boost::asio::ip::make_address_v4(settings.ip).to_uint(),
            .incarnation = static_cast<std::uint32_t>(std::random_device()())};
}

}

PeerExchange::PeerExchange(GatewayContext &context)
    : context_(context)
    , exchange_(identityOf(context.settings), context.fleetLoad)
    , crashExchange_(context.promptPartGuard.attribution(), exchange_)
    , socket_(context.io)
{
}

void PeerExchange::start()
{
    socket_.open(udp::v4());
    socket_.non_blocking(true);
    socket_.bind(udp::endpoint(boost::asio::ip::make_address_v4(context_.settings.ip), context_.settings.peerPort));
    receive();
    sendDue(monotonicNow());
}

void PeerExchange::sendDue(TimePoint now)
{
    const bool wasReporter = exchange_.isReporter();
    const std::vector<OutgoingDatagram> datagrams = exchange_.takeDue(ownView(now), now);
    if (!datagrams.empty()) {
        send(datagrams);
    }
    send(crashExchange_.takeDue(now));
    if (exchange_.isReporter() != wasReporter) {
        Log::write(Log::Level::Info, "group-reporter-changed", {{"isReporter", wasReporter ? "false" : "true"}});
    }
    scheduleTimer();
}

void PeerExchange::scheduleTimer()
{
    const TimePoint due = std::min(exchange_.nextDue(), crashExchange_.nextDue());
    if (timerDue_ && *timerDue_ <= due) {
        return;
    }
    timerDue_ = due;
    context_.timers.scheduleOnce(due, [this, due](TimePoint now) {
        if (timerDue_ == due) {
            timerDue_.reset();
        }
        sendDue(now);
    });
}

void PeerExchange::addPeers(const std::vector<PeerVm> &peers, TimePoint now)
{
    exchange_.addPeers(peers, now);
    hasVmList_ = true;
    updateReaderRank(now);
}

void PeerExchange::receive()
{
    socket_.async_receive_from(boost::asio::buffer(buffer_), sender_, [this](const boost::system::error_code &error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error && sender_.address().is_v4()) {
            receiveDatagram({buffer_.data(), size}, monotonicNow());
        }
        receive();
    });
}

void PeerExchange::receiveDatagram(std::string_view bytes, TimePoint now)
{
    const std::uint32_t senderIp = sender_.address().to_v4().to_uint();
    if (const auto update = decodeEndpointUpdate(bytes)) {
        if (onEndpointUpdate && exchange_.peers().isMemberAddress(senderIp)) {
            onEndpointUpdate(*update);
        }
        return;
    }
    if (const auto forwarded = crashExchange_.receive(bytes, now)) {
        send(*forwarded);
        context_.promptPartGuard.reportChanges(now);
        return;
    }
    const LoadExchange::Received received = exchange_.receive(bytes, senderIp, now);
    if (received.view) {
        if (onPeerView) {
            onPeerView(*received.view, now);
        }
        compareViews(*received.view, now);
    }
    send(received.datagrams);
}

void PeerExchange::sendEndpointUpdate(const EndpointUpdate &update)
{
    const TimePoint now = monotonicNow();
    for (std::string &bytes : encodeEndpointUpdate(update)) {
        send(exchange_.toGroup(std::move(bytes), DatagramKind::EndpointUpdate, now));
    }
}

ViewReport PeerExchange::ownView(TimePoint now) const
{
    return {.planVersion = context_.plan ? context_.plan->version() : 0,
            .endpointPosition = context_.endpointPosition,
            .endpointDigest = context_.directory.digest(),
            .planAge = context_.planFreshness.readAge(now),
            .endpointAge = context_.endpointFreshness.readAge(now)};
}

void PeerExchange::compareViews(const ViewReport &peer, TimePoint now)
{
    const ViewReport own = ownView(now);
    const std::uint32_t ownEra = own.endpointPosition.era;
    const std::uint32_t peerEra = peer.endpointPosition.era;
    if (peerEra > ownEra && ownEra != 0) {
        // The store has come back from a copy, and this VM has not noticed: its offsets mean nothing any more.
        context_.planFreshness.markOutdated(now);
        context_.endpointFreshness.markOutdated(now);
        return;
    }
    if (peerEra < ownEra) {
        return; // Equal views of an earlier era, or of an unknown one, confirm nothing.
    }
    if (peer.planVersion == own.planVersion) {
        context_.planFreshness.recordConfirmation(peer.planAge, now);
    } else if (peer.planVersion > own.planVersion) {
        context_.planFreshness.markOutdated(now);
    }
    if (peer.endpointDigest == own.endpointDigest) {
        context_.endpointFreshness.recordConfirmation(peer.endpointAge, now);
    } else if (peer.endpointPosition > own.endpointPosition) {
        context_.endpointFreshness.markOutdated(now);
    }
}

std::optional<std::string> PeerExchange::findUpToDatePeer(TimePoint now) const
{
    const auto ip = exchange_.freshestPeer(MaxPeerViewAge, now);
    return ip ? std::optional(boost::asio::ip::address_v4(*ip).to_string()) : std::nullopt;
}

void PeerExchange::sendViewUpdate()
{
    const TimePoint now = monotonicNow();
    exchange_.requestReport(now);
    sendDue(now);
}

void PeerExchange::updateReaderRank(TimePoint now)
{
    if (hasVmList_) {
        context_.readerRank = exchange_.readerRank(now);
    }
}

void PeerExchange::updateMetrics()
{
    for (std::size_t kind = 0; kind < sentBytes_.size(); ++kind) {
        if (const std::uint64_t bytes = std::exchange(sentBytes_.at(kind), 0); bytes > 0) {
            context_.metrics.increment("lentillock_peer_bytes_sent_total", {{"kind", KindNames.at(kind)}}, bytes);
        }
    }
}

const LoadExchange &PeerExchange::exchange() const
{
    return exchange_;
}

void PeerExchange::send(const std::vector<OutgoingDatagram> &datagrams)
{
    for (const OutgoingDatagram &datagram : datagrams) {
        boost::system::error_code error;
        socket_.send_to(boost::asio::buffer(*datagram.bytes), udp::endpoint(boost::asio::ip::address_v4(datagram.ip), context_.settings.peerPort), 0, error);
        if (error) {
            context_.metrics.increment("lentillock_load_reports_dropped_total");
        } else {
            sentBytes_.at(static_cast<std::size_t>(datagram.kind)) += datagram.bytes->size();
        }
    }
}

}
