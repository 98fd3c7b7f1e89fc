#pragma once

#include "gateway/crashattributionexchange.h"
#include "gateway/endpointupdate.h"
#include "gateway/gatewaycontext.h"
#include "gateway/loadexchange.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Lentillock
{

/// Sends and receives the messages of LoadExchange over UDP, and compares the views of other VMs with that of this VM.
class PeerExchange
{
public:
    explicit PeerExchange(GatewayContext &context);

    void start();

    /// Sends what is due. Called after each iteration of the event loop.
    void sendDue(TimePoint now);

    /// Returns the IP address of the VM that has read the store most recently, for use while this VM cannot reach the store.
    [[nodiscard]] std::optional<std::string> findUpToDatePeer(TimePoint now) const;

    /// Sends a report at once, because this VM has read new data from the store.
    void sendViewUpdate();

    /// Sends changes of the endpoint list to the VMs of the group.
    void sendEndpointUpdate(const EndpointUpdate &update);

    /// Called when another VM has sent changes of the endpoint list.
    std::function<void(const EndpointUpdate &)> onEndpointUpdate;

    /// Called with each view that another VM has sent.
    std::function<void(const ViewReport &, TimePoint now)> onPeerView;

    /// Adds the VMs that are listed in the store as receivers of reports.
    void addPeers(const std::vector<PeerVm> &peers, TimePoint now);

    /// Updates the rank of this VM among those that read the store. Called periodically.
    void updateReaderRank(TimePoint now);

    /// Adds the bytes sent since the last call to the metrics.
    void updateMetrics();

    [[nodiscard]] const LoadExchange &exchange() const;

private:
    void receive();
    void receiveDatagram(std::string_view bytes, TimePoint now);
    void send(const std::vector<OutgoingDatagram> &datagrams);
    void compareViews(const ViewReport &peer, TimePoint now);
    [[nodiscard]] ViewReport ownView(TimePoint now) const;
    void scheduleTimer();

    GatewayContext &context_;
    LoadExchange exchange_;
    CrashAttributionExchange crashExchange_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    std::array<char, 2048> buffer_{};
    bool hasVmList_ = false;
    std::optional<TimePoint> timerDue_; ///< Earliest scheduled call of sendDue().
    std::array<std::uint64_t, 6> sentBytes_{}; ///< Since the last update of the metrics, by DatagramKind.
};

}
