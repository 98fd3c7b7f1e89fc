#include "gateway/peertable.h"

#include "base/hash.h"
#include "gateway/fleetload.h"

#include <boost/asio/ip/address_v4.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace Lentillock
{

namespace
{

/// A VM whose reports have stopped for this long does not report for its group, pass digests on, or read the store for others.
constexpr Duration LiveTime = 3 * PeriodicReportInterval;

/// Order of a VM for a key: the VM with the highest score comes first. Equal scores are ordered by the hash.
std::pair<std::uint64_t, std::uint64_t> score(std::uint64_t key, std::uint64_t vmHash)
{
    return {stableHash(std::string_view(reinterpret_cast<const char *>(&vmHash), sizeof(vmHash)), key), vmHash};
}

}

bool Peer::isLive(TimePoint now) const
{
    return lastReportAt && now - *lastReportAt < LiveTime;
}

bool Peer::mayBeLive(TimePoint now) const
{
    return isLive(now) || (!lastReportAt && now - addedAt < LiveTime);
}

PeerTable::PeerTable(const VmId &ownVm, std::uint32_t ownZone)
    : ownVm_(ownVm)
    , ownHash_(stableHash(ownVm.value()))
    , ownZone_(ownZone)
    , zoneVmCounts_{{ownZone, 1}}
{
    divideIntoGroups();
}

bool PeerTable::addListed(const std::vector<PeerVm> &list, TimePoint now)
{
    bool foundNew = false;
    for (const PeerVm &vm : list) {
        boost::system::error_code error;
        const auto ip = boost::asio::ip::make_address_v4(vm.ip, error);
        if (error || vm.vm == ownVm_) {
            continue;
        }
        const auto [found, isNew] = peers_.try_emplace(vm.vm, Peer{.vm = vm.vm, .hash = stableHash(vm.vm.value()), .addedAt = now});
        Peer &peer = found->second;
        const std::uint32_t zone = vm.zone.isEmpty() ? peer.zone : zoneHash(vm.zone);
        const auto previousZone = isNew ? std::nullopt : std::optional(peer.zone);
        foundNew = foundNew || isNew;
        peer.ip = ip.to_uint();
        peer.zone = zone;
        assignToGroup(peer, previousZone);
    }
    return foundNew;
}

const Peer *PeerTable::recordReport(const LoadReportMessage &message, std::uint32_t ip, TimePoint now)
{
    if (message.vm == ownVm_) {
        return nullptr;
    }
    const auto [found, isNew] = peers_.try_emplace(message.vm, Peer{.vm = message.vm, .hash = stableHash(message.vm.value()), .addedAt = now});
    Peer &peer = found->second;
    if (!peer.order.accept(message.number)) {
        return nullptr;
    }
    peer.ip = ip;
    peer.lastReportAt = now;
    peer.view = message.view;
    const auto previousZone = isNew ? std::nullopt : std::optional(peer.zone);
    peer.zone = message.zone;
    assignToGroup(peer, previousZone);
    return &peer;
}

std::uint64_t PeerTable::ownHash() const
{
    return ownHash_;
}

const VmGroup &PeerTable::ownGroup() const
{
    return ownGroup_;
}

std::size_t PeerTable::size() const
{
    return peers_.size();
}

const std::vector<const Peer *> &PeerTable::members() const
{
    return members_;
}

const std::map<VmGroup, std::vector<const Peer *>> &PeerTable::otherGroups() const
{
    return otherGroups_;
}

bool PeerTable::isMember(const Peer &peer) const
{
    return std::find(members_.begin(), members_.end(), &peer) != members_.end();
}

bool PeerTable::isMemberAddress(std::uint32_t ip) const
{
    return std::any_of(members_.begin(), members_.end(), [ip](const Peer *member) { return member->ip == ip; });
}

std::size_t PeerTable::rank(std::uint64_t key, TimePoint now) const
{
    const auto own = score(key, ownHash_);
    return static_cast<std::size_t>(
        std::count_if(members_.begin(), members_.end(), [&](const Peer *peer) { return peer->mayBeLive(now) && score(key, peer->hash) > own; }));
}

RelayAddresses PeerTable::chooseRelays(std::uint64_t key, std::uint32_t ownIp, TimePoint now) const
{
    std::vector<std::pair<std::pair<std::uint64_t, std::uint64_t>, std::uint32_t>> scores{{score(key, ownHash_), ownIp}};
    for (const Peer *peer : members_) {
        if (peer->isLive(now)) {
            scores.emplace_back(score(key, peer->hash), peer->ip);
        }
    }
    RelayAddresses relays{};
    const std::size_t count = std::min(relays.size(), scores.size());
    std::partial_sort(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(count), scores.end(), std::greater<>());
    std::transform(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(count), relays.begin(), [](const auto &entry) { return entry.second; });
    return relays;
}

VmGroup PeerTable::currentGroupOf(std::uint64_t vmHash, std::uint32_t zone) const
{
    return groupOf(vmHash, zone, zoneVmCounts_.at(zone), peers_.size() + 1);
}

void PeerTable::assignToGroup(const Peer &peer, std::optional<std::uint32_t> previousZone)
{
    if (previousZone == peer.zone) {
        return;
    }
    ++zoneVmCounts_[peer.zone];
    if (previousZone) {
        --zoneVmCounts_[*previousZone];
    }
    const VmGroup group = currentGroupOf(peer.hash, peer.zone);
    const auto known = otherGroups_.lower_bound({.zone = group.zone});
    const bool hasOtherDivision = known != otherGroups_.end() && known->first.zone == group.zone && known->first.splitBits != group.splitBits;
    if (previousZone || hasOtherDivision || currentGroupOf(ownHash_, ownZone_) != ownGroup_) {
        divideIntoGroups();
    } else {
        // A large fleet starts with as many additions as it has VMs, and nearly all of them leave the division as it is.
        (group == ownGroup_ ? members_ : otherGroups_[group]).push_back(&peer);
    }
}

void PeerTable::divideIntoGroups()
{
    ownGroup_ = currentGroupOf(ownHash_, ownZone_);
    members_.clear();
    otherGroups_.clear();
    for (const auto &[vm, peer] : peers_) {
        const VmGroup group = currentGroupOf(peer.hash, peer.zone);
        (group == ownGroup_ ? members_ : otherGroups_[group]).push_back(&peer);
    }
}

}
