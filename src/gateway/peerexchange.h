#pragma once

#include "gateway/gatewaycontext.h"
#include "gateway/loadreportcodec.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lentillock
{

/// Another VM of the system, as it announced itself.
struct PeerVm {
    VmId vm;
    std::string ip;

    auto operator<=>(const PeerVm &) const = default;
};

/// Exchanges load reports with the other VMs over UDP. A lost report is made good by the next one.
class PeerExchange
{
public:
    explicit PeerExchange(GatewayContext &context);

    void start();

    /// Schedules a report if this VM's load has changed since the last one. Called after each batch of events.
    void scheduleReport(TimePoint now);

    /// IP of a VM that has read the store recently, for a VM that cannot reach it itself.
    [[nodiscard]] std::optional<std::string> freshPeer(TimePoint now) const;

    /// Tells the other VMs now that this one has read something new.
    void announceView();

    /// Adds the VMs that have been listed; this one reports to them.
    void addPeers(const std::vector<PeerVm> &peers, TimePoint now);

private:
    void receive();
    void report(TimePoint now, bool toSilentPeers);
    void compareViews(const ViewReport &peer, TimePoint now);
    [[nodiscard]] ViewReport ownView(TimePoint now) const;
    void reportWhenIdle(TimePoint now);
    void updateRank(TimePoint now);

    GatewayContext &context_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    std::array<char, 2048> buffer_{};
    struct Peer {
        boost::asio::ip::udp::endpoint address;
        std::uint32_t lastSequence = 0;
        TimePoint heardAt{};
        ViewReport view{};
    };
    std::map<VmId, Peer> peers_;
    std::uint32_t sequence_ = 0;
    std::uint64_t reportedRevision_ = 0;
    bool scheduled_ = false;
};

}
