#include "gateway/loadexchange.h"

#include "base/hash.h"

#include <algorithm>
#include <array>

namespace Lentillock
{

namespace
{

/// Load changes within this time are combined into one report. The delay grows with the group, so that the reports that a VM receives do not.
constexpr Duration ReportDelay = 15ms;
constexpr Duration ReportDelayPerMember = 500us;

/// Interval of the digests of a group. It grows with the number of other groups, so that the traffic of a VM grows more slowly than the fleet.
constexpr Duration MinDigestInterval = 60ms;
constexpr Duration DigestIntervalPerGroup = 12ms;

/// A long prompt changes the loads so much that the other groups are told of it early, but not more often than this.
constexpr Duration MinEarlyDigestInterval = 10ms;

/// All sums of a group are repeated within this time. Receivers discard those that are not repeated for a longer time.
constexpr Duration RefreshInterval = 720ms;

/// A reporter or relay that has been silent for this number of digest intervals is replaced.
constexpr int DigestTimeoutIntervals = 3;

/// Delays of the reports with which a new VM introduces itself to the fleet, in case one is lost or its receiver was not running yet.
constexpr std::array<Duration, 2> IntroductionDelays{300ms, 2s};

/// A VM introduces itself again after this time, in case the VM list of another one was incomplete.
constexpr Duration IntroductionInterval = 20s;

/// A digest of a reporter that knows fewer than this fraction of the VMs that another reporter of its group knows is ignored: it has lost contact
/// with its group.
constexpr double MinVmFraction = 0.5;

/// Keys of the orders of the VMs of a group.
const std::uint64_t ReporterKey = stableHash("load-reporter");
const std::uint64_t ReaderKey = stableHash("store-reader");

std::uint64_t keyOf(const VmGroup &group)
{
    const std::array<std::uint32_t, 3> fields{group.zone, group.splitBits, group.part};
    return stableHash(std::string_view(reinterpret_cast<const char *>(fields.data()), sizeof(fields)));
}

/// The newest of two views. Ages are those of the newer plan and of the more recent read of the endpoint list.
ViewReport newerView(const ViewReport &left, const ViewReport &right)
{
    ViewReport newest = left.endpointAge <= right.endpointAge ? left : right;
    const bool leftHasPlan = left.planVersion > right.planVersion || (left.planVersion == right.planVersion && left.planAge <= right.planAge);
    newest.planVersion = leftHasPlan ? left.planVersion : right.planVersion;
    newest.planAge = leftHasPlan ? left.planAge : right.planAge;
    return newest;
}

/// @p view after @p age has passed.
ViewReport agedView(ViewReport view, Duration age)
{
    const auto passed = std::chrono::duration_cast<milliseconds>(age);
    view.planAge += passed;
    view.endpointAge += passed;
    return view;
}

}

LoadExchange::LoadExchange(const ExchangeIdentity &own, FleetLoad &load)
    : own_(own)
    , load_(load)
    , peers_(own.vm, zoneHash(own.zone))
    , ownGroup_(peers_.ownGroup())
{
}

void LoadExchange::addPeers(const std::vector<PeerVm> &peers, TimePoint now)
{
    if (peers_.addListed(peers, now)) {
        introductionsSent_ = 0;
        introductionDue_ = now;
        updateOwnGroup();
    }
    load_.setExpectedPeers(peers_.size(), now);
}

void LoadExchange::updateOwnGroup()
{
    if (peers_.ownGroup() == ownGroup_) {
        return;
    }
    ownGroup_ = peers_.ownGroup();
    load_.setOwnGroup(peers_.ownGroup());
    std::erase_if(remoteGroups_, [this](const auto &remote) { return remote.first.overlaps(peers_.ownGroup()); });
    for (const auto &[group, peers] : peers_.otherGroups()) {
        for (const Peer *peer : peers) {
            load_.removePeer(peer->vm);
        }
    }
}

LoadExchange::Received LoadExchange::receive(std::string_view bytes, std::uint32_t senderIp, TimePoint now)
{
    Received received;
    if (const auto report = decodeLoadReport(bytes)) {
        applyReport(*report, senderIp, received, now);
    } else if (const auto digest = decodeGroupDigest(bytes)) {
        applyDigest(*digest, received, now);
    }
    return received;
}

void LoadExchange::applyReport(const LoadReportMessage &message, std::uint32_t senderIp, Received &received, TimePoint now)
{
    const Peer *peer = peers_.recordReport(message, senderIp, now);
    if (peer == nullptr) {
        return;
    }
    updateOwnGroup();
    if (!peers_.isMember(*peer)) {
        load_.removePeer(message.vm);
        return;
    }
    received.view = message.view;
    load_.applyPeerReport(message.vm, message.loads, message.shortDemand, now);
    if (message.startedLongPrompt) {
        digestDue_ = std::min(digestDue_, std::max(now, lastDigestAt_ + MinEarlyDigestInterval));
    }
    if (peer->order.isNewIncarnation()) {
        // The new process does not know the loads yet.
        requestReport(now);
        if (rank_ == 0) {
            sendSnapshots(received.datagrams, *peer, now);
        }
    }
}

void LoadExchange::applyDigest(const GroupDigestMessage &message, Received &received, TimePoint now)
{
    if (message.reporterHash == peers_.ownHash()) {
        return;
    }
    if (message.group == peers_.ownGroup()) {
        const bool knowsGroup = static_cast<double>(message.vmCount) >= MinVmFraction * static_cast<double>(load_.groupPeerCount() + 1);
        lastHeartbeatAt_ = knowsGroup ? now : lastHeartbeatAt_;
        return;
    }
    if (message.group.overlaps(peers_.ownGroup())) {
        return;
    }
    RemoteGroup &remote = remoteGroups_[message.group];
    if (!accept(remote, message, now)) {
        return;
    }
    remote.lastDigestAt = now;
    remote.lastDigest = message;
    remote.lastDigest.loads.clear();
    std::erase_if(remoteGroups_, [&message](const auto &other) { return other.first != message.group && other.first.overlaps(message.group); });
    load_.applyGroupDigest(message.group, message.vmCount, message.loads, message.shortDemand, now);
    received.view = message.view;
    if (message.mustForward) {
        GroupDigestMessage copy = message;
        copy.mustForward = false;
        received.datagrams = toGroup(encodeGroupDigest(copy), DatagramKind::ForwardedDigest, now);
    }
}

bool LoadExchange::RemoteGroup::isHeard(Duration maxAge, TimePoint now) const
{
    return lastDigestAt && now - *lastDigestAt < maxAge;
}

bool LoadExchange::accept(RemoteGroup &remote, const GroupDigestMessage &message, TimePoint now) const
{
    if (!remote.orders[message.reporterHash].accept(message.number)) {
        return false;
    }
    const bool isOtherReporter = remote.isHeard(2 * digestTimeout(), now) && message.reporterHash != remote.lastDigest.reporterHash;
    return !isOtherReporter || static_cast<double>(message.vmCount) >= MinVmFraction * static_cast<double>(remote.lastDigest.vmCount);
}

void LoadExchange::sendSnapshots(std::vector<OutgoingDatagram> &datagrams, const Peer &receiver, TimePoint now) const
{
    for (const auto &[group, remote] : remoteGroups_) {
        if (!remote.isHeard(digestTimeout(), now)) {
            continue;
        }
        GroupDigestMessage message = remote.lastDigest;
        message.mustForward = false;
        message.loads = load_.groupEntries(group, now);
        datagrams.push_back({receiver.ip, DatagramKind::ForwardedDigest, std::make_shared<const std::string>(encodeGroupDigest(message))});
    }
}

const LoadExchange::RemoteGroup *LoadExchange::findRemote(const VmGroup &group) const
{
    const auto found = remoteGroups_.find(group);
    return found == remoteGroups_.end() ? nullptr : &found->second;
}

std::vector<OutgoingDatagram> LoadExchange::takeDue(const ViewReport &ownView, TimePoint now)
{
    std::vector<OutgoingDatagram> datagrams;
    const bool startedLongPrompt = load_.hasStartedLongPrompt();
    if (load_.ownRevision() != reportedRevision_ && !reportDue_) {
        reportDue_ = now + std::max(ReportDelay, ReportDelayPerMember * static_cast<int>(peers_.members().size()));
    }
    const bool isPeriodic = now >= periodicDue_;
    if (isPeriodic || startedLongPrompt || (reportDue_ && now >= *reportDue_)) {
        sendReport(datagrams, ownView, isPeriodic, now);
    }
    if (now >= digestDue_) {
        sendDigests(datagrams, ownView, now);
    }
    return datagrams;
}

TimePoint LoadExchange::nextDue() const
{
    const TimePoint reportDue = std::min(periodicDue_, reportDue_.value_or(periodicDue_));
    // The VMs that are neither the reporter nor its standby only have to notice when this changes.
    return rank_ <= 1 && !peers_.otherGroups().empty() ? std::min(reportDue, digestDue_) : reportDue;
}

void LoadExchange::requestReport(TimePoint now)
{
    reportDue_ = now;
}

void LoadExchange::sendReport(std::vector<OutgoingDatagram> &datagrams, const ViewReport &ownView, bool isPeriodic, TimePoint now)
{
    const bool startedLongPrompt = load_.takeStartedLongPrompt();
    reportedRevision_ = load_.ownRevision();
    reportDue_.reset();
    periodicDue_ = now + PeriodicReportInterval;
    const LoadReportMessage message{.vm = own_.vm,
                                    .number = {.incarnation = own_.incarnation, .sequence = ++reportSequence_},
                                    .zone = zoneHash(own_.zone),
                                    .startedLongPrompt = startedLongPrompt,
                                    .view = ownView,
                                    .shortDemand = load_.ownShortDemand(now),
                                    .loads = load_.ownReport(now)};
    const auto bytes = std::make_shared<const std::string>(encodeLoadReport(message));
    const bool isIntroduction = introductionDue_ && now >= *introductionDue_;
    for (const Peer *member : peers_.members()) {
        if (isPeriodic || isIntroduction || member->isLive(now)) {
            datagrams.push_back({member->ip, DatagramKind::Report, bytes});
        }
    }
    if (isIntroduction) {
        for (const auto &[group, peers] : peers_.otherGroups()) {
            for (const Peer *peer : peers) {
                datagrams.push_back({peer->ip, DatagramKind::Introduction, bytes});
            }
        }
        introductionDue_ = now + (introductionsSent_ < IntroductionDelays.size() ? IntroductionDelays.at(introductionsSent_) : IntroductionInterval);
        ++introductionsSent_;
    }
    if (startedLongPrompt) {
        digestDue_ = std::min(digestDue_, std::max(now, lastDigestAt_ + MinEarlyDigestInterval));
    }
}

void LoadExchange::sendDigests(std::vector<OutgoingDatagram> &datagrams, const ViewReport &ownView, TimePoint now)
{
    digestDue_ = now + digestInterval();
    updateRank(now);
    if (peers_.otherGroups().empty() || rank_ > 1) {
        return;
    }
    const bool isActive = isReporterActive(now);
    std::vector<std::pair<VmGroup, std::uint32_t>> targets;
    for (const auto &[group, peers] : peers_.otherGroups()) {
        // Digests to a group that does not receive those of the reporter are sent by the standby as well.
        if (isActive || lacksOurDigests(group, now)) {
            targets.emplace_back(group, chooseRelay(group, peers, now));
        }
    }
    if (targets.empty()) {
        return;
    }
    lastDigestAt_ = now;
    GroupDigestMessage message = digestHeader(ownView, now);
    const std::vector<EndpointLoadReport> entries = composer_.compose(load_.groupSums(now), static_cast<std::size_t>(RefreshInterval / digestInterval()));
    for (std::size_t first = 0; first == 0 || first < entries.size(); first += MaxReportedEndpoints) {
        message.loads.assign(entries.begin() + static_cast<std::ptrdiff_t>(first),
                             entries.begin() + static_cast<std::ptrdiff_t>(std::min(first + MaxReportedEndpoints, entries.size())));
        ++message.number.sequence;
        for (const auto &[group, relay] : targets) {
            const RemoteGroup *remote = findRemote(group);
            const bool isKnown = remote != nullptr && remote->lastDigestAt;
            message.target = group;
            message.relays = peers_.chooseRelays(keyOf(group), own_.ip, now);
            message.targetAge = isKnown ? std::chrono::duration_cast<milliseconds>(now - *remote->lastDigestAt) : MaxReportedAge;
            datagrams.push_back({relay, DatagramKind::Digest, std::make_shared<const std::string>(encodeGroupDigest(message))});
        }
    }
    digestSequence_ = message.number.sequence;
    if (isActive) {
        // The standby takes over when these stop.
        message.target = peers_.ownGroup();
        message.mustForward = false;
        message.loads.clear();
        const auto bytes = std::make_shared<const std::string>(encodeGroupDigest(message));
        for (const std::uint32_t ip : peers_.chooseRelays(ReporterKey, own_.ip, now)) {
            if (ip != own_.ip && ip != 0) {
                datagrams.push_back({ip, DatagramKind::Digest, bytes});
            }
        }
    }
}

GroupDigestMessage LoadExchange::digestHeader(const ViewReport &ownView, TimePoint now) const
{
    GroupDigestMessage message{.group = peers_.ownGroup(), .reporterHash = peers_.ownHash(), .mustForward = true};
    message.number = {.incarnation = own_.incarnation, .sequence = digestSequence_};
    message.vmCount = load_.groupPeerCount() + 1;
    message.shortDemand = load_.groupShortDemand(now);
    message.view = ownView;
    message.viewOwnerIp = own_.ip;
    for (const Peer *member : peers_.members()) {
        if (member->isLive(now)) {
            const ViewReport view = agedView(member->view, now - *member->lastReportAt);
            message.viewOwnerIp = view.endpointAge < message.view.endpointAge ? member->ip : message.viewOwnerIp;
            message.view = newerView(message.view, view);
        }
    }
    return message;
}

bool LoadExchange::lacksOurDigests(const VmGroup &target, TimePoint now) const
{
    const RemoteGroup *remote = findRemote(target);
    return remote != nullptr && remote->isHeard(digestTimeout(), now) && remote->lastDigest.target == peers_.ownGroup()
        && remote->lastDigest.targetAge > digestTimeout();
}

std::uint32_t LoadExchange::chooseRelay(const VmGroup &target, const std::vector<const Peer *> &targetPeers, TimePoint now)
{
    Sending &sending = sendings_[target];
    const RemoteGroup *remote = findRemote(target);
    const bool isKnown = remote != nullptr && remote->isHeard(2 * digestTimeout(), now);
    if ((!isKnown || lacksOurDigests(target, now)) && now - sending.relayChosenAt > digestTimeout()) {
        ++sending.relayIndex;
        sending.relayChosenAt = now;
    }
    if (isKnown) {
        const RelayAddresses &relays = remote->lastDigest.relays;
        const std::uint32_t relay = relays.at(sending.relayIndex % relays.size());
        return relay != 0 ? relay : relays.front();
    }
    return targetPeers.at(sending.relayIndex % targetPeers.size())->ip;
}

Duration LoadExchange::digestInterval() const
{
    return std::max(MinDigestInterval, DigestIntervalPerGroup * static_cast<int>(peers_.otherGroups().size()));
}

Duration LoadExchange::digestTimeout() const
{
    return DigestTimeoutIntervals * digestInterval();
}

bool LoadExchange::isReporterActive(TimePoint now) const
{
    return rank_ == 0 || (rank_ == 1 && now - std::max(lastHeartbeatAt_, rankSince_) > digestTimeout());
}

void LoadExchange::updateRank(TimePoint now)
{
    if (now - rankUpdatedAt_ < digestInterval()) {
        return;
    }
    rankUpdatedAt_ = now;
    const std::size_t rank = peers_.rank(ReporterKey, now);
    rankSince_ = rank != rank_ ? now : rankSince_;
    rank_ = rank;
}

std::vector<OutgoingDatagram> LoadExchange::toGroup(std::string bytes, DatagramKind kind, TimePoint now) const
{
    std::vector<OutgoingDatagram> datagrams;
    const auto shared = std::make_shared<const std::string>(std::move(bytes));
    for (const Peer *member : peers_.members()) {
        if (member->isLive(now)) {
            datagrams.push_back({member->ip, kind, shared});
        }
    }
    return datagrams;
}

std::vector<OutgoingDatagram> LoadExchange::toOtherGroups(std::string bytes, DatagramKind kind, TimePoint now) const
{
    std::vector<OutgoingDatagram> datagrams;
    const auto shared = std::make_shared<const std::string>(std::move(bytes));
    for (const auto &[group, peers] : peers_.otherGroups()) {
        RelayAddresses relays{};
        const RemoteGroup *remote = findRemote(group);
        if (remote != nullptr && remote->isHeard(2 * digestTimeout(), now)) {
            relays = remote->lastDigest.relays;
        } else {
            for (std::size_t index = 0; index < std::min(relays.size(), peers.size()); ++index) {
                relays.at(index) = peers[index]->ip;
            }
        }
        for (const std::uint32_t ip : relays) {
            if (ip != 0) {
                datagrams.push_back({ip, kind, shared});
            }
        }
    }
    return datagrams;
}

bool LoadExchange::isFirstInGroup(TimePoint now) const
{
    return peers_.rank(ReporterKey, now) == 0;
}

ReaderRank LoadExchange::readerRank(TimePoint now) const
{
    // Each group has a first reader. The readers of the groups that precede this one count as well.
    const std::uint64_t ownKey = keyOf(peers_.ownGroup());
    const auto precedingGroups = std::count_if(peers_.otherGroups().begin(), peers_.otherGroups().end(), [&](const auto &group) {
        const RemoteGroup *remote = findRemote(group.first);
        return remote != nullptr && remote->isHeard(2 * digestTimeout(), now) && keyOf(group.first) > ownKey;
    });
    const std::size_t inGroup = peers_.rank(ReaderKey, now);
    return {.inFleet = inGroup + static_cast<std::size_t>(precedingGroups), .inGroup = inGroup};
}

std::optional<std::uint32_t> LoadExchange::freshestPeer(Duration maxAge, TimePoint now) const
{
    std::optional<std::uint32_t> freshest;
    Duration freshestAge = maxAge;
    const auto consider = [&](std::uint32_t ip, const ViewReport &view, TimePoint receivedAt) {
        const Duration age = view.endpointAge + (now - receivedAt);
        if (age <= freshestAge) {
            freshestAge = age;
            freshest = ip;
        }
    };
    for (const Peer *member : peers_.members()) {
        if (member->lastReportAt) {
            consider(member->ip, member->view, *member->lastReportAt);
        }
    }
    for (const auto &[group, remote] : remoteGroups_) {
        if (remote.lastDigestAt) {
            consider(remote.lastDigest.viewOwnerIp, remote.lastDigest.view, *remote.lastDigestAt);
        }
    }
    return freshest;
}

const PeerTable &LoadExchange::peers() const
{
    return peers_;
}

bool LoadExchange::isReporter() const
{
    return rank_ == 0 && !peers_.otherGroups().empty();
}

}
