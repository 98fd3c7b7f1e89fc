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

/// Address of another VM, as announced in the store.
struct PeerVm {
    VmId vm;
    std::string ip;

    auto operator<=>(const PeerVm &) const = default;
};

/// Exchanges load reports with the other VMs over UDP. Each report is complete, so the next one compensates for a lost one.
class PeerExchange
{
public:
    explicit PeerExchange(GatewayContext &context);

    void start();

    /// Schedules a report if the load of this VM has changed since the last report. Called after each iteration of the event loop.
    void scheduleReport(TimePoint now);

    /// Returns the IP address of the VM that has read the store most recently, for use while this VM cannot reach the store.
    [[nodiscard]] std::optional<std::string> findUpToDatePeer(TimePoint now) const;

    /// Sends a report at once, because this VM has read new data from the store.
    void sendViewUpdate();

    /// Adds the VMs that are listed in the store as receivers of reports.
    void addPeers(const std::vector<PeerVm> &peers, TimePoint now);

private:
    void receive();
    void sendReport(TimePoint now, bool includeUnresponsivePeers);
    void compareViews(const ViewReport &peer, TimePoint now);
    [[nodiscard]] ViewReport ownView(TimePoint now) const;
    void schedulePeriodicReport(TimePoint now);
    void updateReaderRank(TimePoint now);

    GatewayContext &context_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    std::array<char, 2048> buffer_{};
    struct Peer {
        boost::asio::ip::udp::endpoint address;
        std::uint32_t lastSequence = 0;
        TimePoint lastReportAt{};
        ViewReport view{};
    };
    std::map<VmId, Peer> peers_;
    std::uint32_t sequence_ = 0;
    std::uint64_t reportedRevision_ = 0;
    bool reportScheduled_ = false;
};

}
