#pragma once

#include "gateway/digestcomposer.h"
#include "gateway/fleetload.h"
#include "gateway/peertable.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lentillock
{

/// Purpose of a message between VMs, as distinguished by the metrics.
enum class DatagramKind {
    Report, ///< To the own group.
    Introduction, ///< A report to another group.
    Digest,
    ForwardedDigest,
    EndpointUpdate, ///< Changes of the endpoint list, to the own group.
    CrashAttribution, ///< Crashes and blocked prompt parts, to the fleet.
};

/// A message to send to the VM with address @c ip.
struct OutgoingDatagram {
    std::uint32_t ip = 0;
    DatagramKind kind = DatagramKind::Report;
    std::shared_ptr<const std::string> bytes; ///< Shared by the datagrams to all receivers.
};

/// Identity of a VM in the exchange of load reports.
struct ExchangeIdentity {
    VmId vm;
    ZoneId zone;
    std::uint32_t ip = 0;
    std::uint32_t incarnation = 0; ///< Random number of this process.
};

/// Decides which load reports a VM sends, to whom and when, and applies those of other VMs to the fleet load. Does no I/O.
///
/// Each VM reports to all VMs of its group. One VM of each group, the reporter, sends a digest with the sums of its group to one VM of each other
/// group, the relay, which passes it on to its group. The second VM in the order takes over when the reporter is silent, has lost contact with its
/// group, or does not reach another group. The number of messages that a VM sends and receives depends on the size of a group and on the number of
/// groups, not on the number of VMs.
class LoadExchange
{
public:
    LoadExchange(const ExchangeIdentity &own, FleetLoad &load);

    /// Adds VMs that are listed in the store.
    void addPeers(const std::vector<PeerVm> &peers, TimePoint now);

    /// What a received datagram requires.
    struct Received {
        std::optional<ViewReport> view; ///< View of another VM, to be compared with the own one.
        std::vector<OutgoingDatagram> datagrams; ///< To be sent at once.
    };
    Received receive(std::string_view bytes, std::uint32_t senderIp, TimePoint now);

    /// Returns the datagrams that are due. To be called when nextDue() is reached and whenever the load of this VM may have changed.
    std::vector<OutgoingDatagram> takeDue(const ViewReport &ownView, TimePoint now);

    /// Time at which takeDue() has to be called even if nothing changes.
    [[nodiscard]] TimePoint nextDue() const;

    /// Makes a report due immediately, because this VM has read new data from the store.
    void requestReport(TimePoint now);

    /// Position of this VM in the orders in which the VMs of the fleet and of its group read the store.
    [[nodiscard]] ReaderRank readerRank(TimePoint now) const;

    /// Datagrams that carry @p bytes to the live VMs of the group.
    [[nodiscard]] std::vector<OutgoingDatagram> toGroup(std::string bytes, DatagramKind kind, TimePoint now) const;

    /// Datagrams that carry @p bytes to two VMs of each other group, which have to pass them on.
    [[nodiscard]] std::vector<OutgoingDatagram> toOtherGroups(std::string bytes, DatagramKind kind, TimePoint now) const;

    /// Whether this VM is the first live one of its group in the order of the reporters.
    [[nodiscard]] bool isFirstInGroup(TimePoint now) const;

    /// The VM that has read the endpoint list most recently, unless that was longer than @p maxAge ago.
    [[nodiscard]] std::optional<std::uint32_t> freshestPeer(Duration maxAge, TimePoint now) const;

    [[nodiscard]] const PeerTable &peers() const;

    /// Whether this VM sends the digests of its group.
    [[nodiscard]] bool isReporter() const;

private:
    /// What this VM knows of another group from its digests.
    struct RemoteGroup {
        std::map<std::uint64_t, ReportOrder> orders; ///< By reporter.
        std::optional<TimePoint> lastDigestAt;
        GroupDigestMessage lastDigest; ///< Without the loads.

        [[nodiscard]] bool isHeard(Duration maxAge, TimePoint now) const;
    };
    /// When and through which relay digests are sent to another group.
    struct Sending {
        std::size_t relayIndex = 0;
        TimePoint relayChosenAt{};
    };

    void updateOwnGroup();
    void applyReport(const LoadReportMessage &message, std::uint32_t senderIp, Received &received, TimePoint now);
    void applyDigest(const GroupDigestMessage &message, Received &received, TimePoint now);
    [[nodiscard]] bool accept(RemoteGroup &remote, const GroupDigestMessage &message, TimePoint now) const;
    void sendSnapshots(std::vector<OutgoingDatagram> &datagrams, const Peer &receiver, TimePoint now) const;
    [[nodiscard]] const RemoteGroup *findRemote(const VmGroup &group) const;
    void sendReport(std::vector<OutgoingDatagram> &datagrams, const ViewReport &ownView, bool isPeriodic, TimePoint now);
    void sendDigests(std::vector<OutgoingDatagram> &datagrams, const ViewReport &ownView, TimePoint now);
    [[nodiscard]] GroupDigestMessage digestHeader(const ViewReport &ownView, TimePoint now) const;
    [[nodiscard]] std::uint32_t chooseRelay(const VmGroup &target, const std::vector<const Peer *> &targetPeers, TimePoint now);
    [[nodiscard]] bool lacksOurDigests(const VmGroup &target, TimePoint now) const;
    [[nodiscard]] bool isReporterActive(TimePoint now) const;
    [[nodiscard]] Duration digestInterval() const;
    [[nodiscard]] Duration digestTimeout() const;
    void updateRank(TimePoint now);

    ExchangeIdentity own_;
    FleetLoad &load_;
    PeerTable peers_;
    VmGroup ownGroup_; ///< As of the last update of the fleet load.
    std::map<VmGroup, RemoteGroup> remoteGroups_;
    std::map<VmGroup, Sending> sendings_;
    DigestComposer composer_;
    std::uint32_t reportSequence_ = 0;
    std::uint32_t digestSequence_ = 0;
    std::uint64_t reportedRevision_ = 0;
    std::size_t rank_ = 0;
    TimePoint rankUpdatedAt_{};
    TimePoint rankSince_{};
    TimePoint lastHeartbeatAt_{}; ///< When the first VM in the order last sent a digest.
    std::optional<TimePoint> reportDue_;
    TimePoint periodicDue_{};
    TimePoint digestDue_{};
    TimePoint lastDigestAt_{};
    std::optional<TimePoint> introductionDue_; ///< Next report to the whole fleet, which makes this VM known.
    std::size_t introductionsSent_ = 0;
};

}
