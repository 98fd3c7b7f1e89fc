#pragma once

#include "base/time.h"
#include "gateway/loadreportcodec.h"

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
    ZoneId zone; ///< Empty if the announcement does not contain it.

    auto operator<=>(const PeerVm &) const = default;
};

/// What this VM knows of another one.
struct Peer {
    VmId vm;
    std::uint64_t hash = 0; ///< Of the VM ID.
    std::uint32_t ip = 0; ///< IPv4 address in host byte order.
    std::uint32_t zone = 0; ///< Hash of its zone; 0 if unknown.
    ReportOrder order{};
    TimePoint addedAt{}; ///< When it became known.
    std::optional<TimePoint> lastReportAt{};
    ViewReport view{};

    /// Whether the VM has reported recently.
    [[nodiscard]] bool isLive(TimePoint now) const;
    /// Whether it has, or has become known so recently that its first report may still come.
    [[nodiscard]] bool mayBeLive(TimePoint now) const;
};

/// The other VMs of the fleet and their division into groups.
class PeerTable
{
public:
    PeerTable(const VmId &ownVm, std::uint32_t ownZone);

    /// Adds the VMs of the VM list, or updates their addresses. Entries without a valid address are ignored. Returns whether any was unknown.
    bool addListed(const std::vector<PeerVm> &list, TimePoint now);

    /// Records a report of a VM of any group. Returns null if the report is outdated.
    const Peer *recordReport(const LoadReportMessage &message, std::uint32_t ip, TimePoint now);

    [[nodiscard]] std::uint64_t ownHash() const;
    [[nodiscard]] const VmGroup &ownGroup() const;
    [[nodiscard]] std::size_t size() const;

    /// The VMs of the own group, without this VM.
    [[nodiscard]] const std::vector<const Peer *> &members() const;
    /// The VMs of each other group.
    [[nodiscard]] const std::map<VmGroup, std::vector<const Peer *>> &otherGroups() const;

    [[nodiscard]] bool isMember(const Peer &peer) const;
    [[nodiscard]] bool isMemberAddress(std::uint32_t ip) const;

    /// Number of members of the own group that may be live and precede this VM in the order for @p key. The members compute the same order.
    [[nodiscard]] std::size_t rank(std::uint64_t key, TimePoint now) const;

    /// Live members, and this VM, with the highest ranks for @p key.
    [[nodiscard]] RelayAddresses chooseRelays(std::uint64_t key, std::uint32_t ownIp, TimePoint now) const;

private:
    /// Puts @p peer, whose zone was @p previousZone if it was known before, into its group.
    void assignToGroup(const Peer &peer, std::optional<std::uint32_t> previousZone);
    void divideIntoGroups();
    [[nodiscard]] VmGroup currentGroupOf(std::uint64_t vmHash, std::uint32_t zone) const;

    VmId ownVm_;
    std::uint64_t ownHash_;
    std::uint32_t ownZone_;
    std::map<VmId, Peer> peers_;
    std::map<std::uint32_t, std::size_t> zoneVmCounts_; ///< Including this VM.
    VmGroup ownGroup_;
    std::vector<const Peer *> members_;
    std::map<VmGroup, std::vector<const Peer *>> otherGroups_;
};

}
