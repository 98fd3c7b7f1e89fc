#include "membership/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Lentillock
{

namespace
{

/// Members asked to probe a target that did not acknowledge a direct ping. Also the number of addresses pinged at once to join.
constexpr std::size_t IndirectProbeCount = 3;
/// Each update is sent this many times the binary logarithm of the member count. At 10 % packet loss this reaches all members with high probability.
constexpr unsigned TransmissionFactor = 3;
/// Random members added to each message besides the pending updates. Replaces updates lost with dropped messages (anti-entropy).
constexpr std::size_t RandomMembersPerMessage = 2;
/// Periods between two pings to a seed or dead member. These pings merge both sides of a network partition once it has healed.
constexpr std::uint64_t RejoinIntervalPeriods = 5;
/// Upper bound in bytes of the kind, the sequence number, the sender and target fields without their text, and the message framing.
constexpr std::size_t MaxHeaderSize = 56;
/// A member that misses at least 1/LargeDeficitDivisor of the live members of a sender requests a sync after LargeDeficitSyncPeriods. With a smaller
/// deficit it waits for SmallDeficitSyncPeriods, because regular messages usually close the gap.
constexpr std::size_t LargeDeficitDivisor = 10;
/// Minimum periods between the starts of two syncs. A full list of 300 members takes about 39 KB.
constexpr std::uint64_t LargeDeficitSyncPeriods = 5;
constexpr std::uint64_t SmallDeficitSyncPeriods = 30;

bool isLive(const Member &member)
{
    return member.status == MemberStatus::Alive || member.status == MemberStatus::Suspect;
}

/// Whether @p update takes precedence over @p current: by the higher incarnation, then by the higher status.
bool supersedes(const Member &update, const Member &current)
{
    return update.incarnation != current.incarnation ? update.incarnation > current.incarnation : update.status > current.status;
}

}

Membership::Membership(Member self, std::uint64_t seed, MembershipOptions options)
    : self_(std::move(self))
    , options_(options)
    , random_(seed)
{
    announceSelf();
}

void Membership::setSeeds(const std::vector<std::string> &addresses)
{
    seeds_ = addresses;
    std::erase(seeds_, self_.gossipAddress);
}

std::vector<OutgoingGossip> Membership::advance(TimePoint now)
{
    std::vector<OutgoingGossip> outgoing;
    if (lastAdvance_ && now - *lastAdvance_ > options_.pauseThreshold) {
        resumeAfterPause(now, now - *lastAdvance_);
    }
    const bool first = !lastAdvance_;
    lastAdvance_ = now;
    if (first || now >= periodEnd_) {
        endPeriod(now);
        expireMembers(now);
        startPeriod(now, outgoing);
    } else if (probe_ && !probe_->acknowledged && !probe_->indirectRequested && now >= probe_->sentAt + options_.ackTimeout) {
        requestIndirectProbes(now, outgoing);
    }
    return outgoing;
}

void Membership::resumeAfterPause(TimePoint now, Duration pause)
{
    // A paused process receives no acknowledgements, so missing ones are no evidence of failure. Pending suspicions are extended by the pause.
    probe_.reset();
    for (auto &[id, peer] : peers_) {
        if (peer.member.status == MemberStatus::Suspect) {
            peer.updatedAt = std::min(peer.updatedAt + pause, now);
        }
    }
}

void Membership::startPeriod(TimePoint now, std::vector<OutgoingGossip> &outgoing)
{
    periodEnd_ = now + options_.probePeriod;
    ++periodCount_;
    if (liveCount() == 0 || periodCount_ % RejoinIntervalPeriods == 0) {
        rejoin(outgoing);
    }
    const auto target = nextProbeTarget();
    if (!target) {
        return;
    }
    const Member &member = peers_.at(*target).member;
    probe_ = Probe{++sequence_, *target, member.incarnation, now, false, false};
    outgoing.push_back(ping(member.gossipAddress, *target, probe_->sequence));
}

void Membership::rejoin(std::vector<OutgoingGossip> &outgoing)
{
    std::set<std::string> live;
    std::vector<std::string> candidates;
    for (const auto &[id, peer] : peers_) {
        if (isLive(peer.member)) {
            live.insert(peer.member.gossipAddress);
        } else if (peer.member.status == MemberStatus::Dead) {
            candidates.push_back(peer.member.gossipAddress);
        }
    }
    std::ranges::copy_if(seeds_, std::back_inserter(candidates), [&](const std::string &seed) { return !live.contains(seed); });
    std::ranges::shuffle(candidates, random_);
    candidates.resize(std::min(candidates.size(), live.empty() ? IndirectProbeCount : std::size_t{1}));
    for (const std::string &address : candidates) {
        outgoing.push_back(ping(address, {}, ++sequence_));
    }
}

std::optional<VmId> Membership::nextProbeTarget()
{
    for (int round = 0; round < 2; ++round) {
        while (!probeOrder_.empty()) {
            const VmId id = probeOrder_.back();
            probeOrder_.pop_back();
            const auto peer = peers_.find(id);
            if (peer != peers_.end() && peer->second.member.status != MemberStatus::Dead) {
                return id;
            }
        }
        for (const auto &[id, peer] : peers_) {
            if (peer.member.status != MemberStatus::Dead) {
                probeOrder_.push_back(id);
            }
        }
        std::ranges::shuffle(probeOrder_, random_);
    }
    return std::nullopt;
}

void Membership::requestIndirectProbes(TimePoint now, std::vector<OutgoingGossip> &outgoing)
{
    probe_->indirectRequested = true;
    for (const VmId &helper : randomMembers(IndirectProbeCount, probe_->target)) {
        GossipMessage message = makeMessage(GossipKind::PingRequest, probe_->sequence, probe_->target, helper);
        outgoing.push_back({peers_.at(helper).member.gossipAddress, std::move(message)});
    }
    // Pings the target directly once more in case the first ping was lost.
    outgoing.push_back(ping(peers_.at(probe_->target).member.gossipAddress, probe_->target, probe_->sequence));
    std::erase_if(relayedPings_, [&](const auto &relay) { return now - relay.second.sentAt > 2 * options_.probePeriod; });
}

void Membership::endPeriod(TimePoint now)
{
    const auto probe = std::exchange(probe_, std::nullopt);
    if (!probe || probe->acknowledged) {
        return;
    }
    const auto peer = peers_.find(probe->target);
    if (peer == peers_.end() || peer->second.member.incarnation != probe->incarnation) {
        return;
    }
    Member update = peer->second.member;
    // A member that announced its departure becomes dead without a suspicion timeout.
    update.status = update.status == MemberStatus::Leaving ? MemberStatus::Dead : MemberStatus::Suspect;
    applyUpdate(now, update, false);
}

void Membership::expireMembers(TimePoint now)
{
    std::vector<Member> dead;
    for (const auto &[id, peer] : peers_) {
        if (peer.member.status == MemberStatus::Suspect && now - peer.updatedAt >= suspicionTimeout()) {
            dead.push_back(peer.member);
            dead.back().status = MemberStatus::Dead;
        }
    }
    for (const Member &member : dead) {
        applyUpdate(now, member, false);
    }
    const auto removedCount = std::erase_if(
        peers_, [&](const auto &entry) { return entry.second.member.status == MemberStatus::Dead && now - entry.second.updatedAt >= options_.deadRetention; });
    revision_ += removedCount > 0 ? 1 : 0;
}

std::vector<OutgoingGossip> Membership::receive(TimePoint now, const std::string &source, const GossipMessage &message)
{
    if (message.from == self_.id) {
        return {};
    }
    for (const Member &update : message.members) {
        applyUpdate(now, update, update.id == message.from);
    }
    std::ranges::copy(message.rumors, std::back_inserter(receivedRumors_));
    std::vector<OutgoingGossip> outgoing;
    if (message.kind == GossipKind::Ping) {
        outgoing = receivePing(source, message);
    } else if (message.kind == GossipKind::PingRequest) {
        outgoing = receivePingRequest(now, source, message);
    } else {
        outgoing = receiveAck(message);
    }
    std::ranges::move(continueSync(source, message), std::back_inserter(outgoing));
    return outgoing;
}

bool Membership::isSyncDue(const GossipMessage &message) const
{
    const std::size_t ownLiveCount = liveCount() + 1;
    if (message.sync || ownLiveCount >= message.liveMembers) {
        return false;
    }
    const bool missesMany = ownLiveCount + message.liveMembers / LargeDeficitDivisor <= message.liveMembers;
    return !lastSyncPeriod_ || periodCount_ >= *lastSyncPeriod_ + (missesMany ? LargeDeficitSyncPeriods : SmallDeficitSyncPeriods);
}

std::vector<OutgoingGossip> Membership::continueSync(const std::string &source, const GossipMessage &message)
{
    const bool isSyncReply = message.kind == GossipKind::Ack && message.sync;
    if (isSyncReply && message.members.size() > 1 && message.members.back().id > syncCursor_) {
        syncCursor_ = message.members.back().id;
        return {syncRequest(source, message.from)};
    }
    if (isSyncReply) {
        syncCursor_ = VmId();
        return {};
    }
    if (isSyncDue(message)) {
        lastSyncPeriod_ = periodCount_;
        return {syncRequest(source, message.from)};
    }
    return {};
}

OutgoingGossip Membership::syncRequest(const std::string &address, const VmId &receiver)
{
    GossipMessage message = makeMessage(GossipKind::Ping, ++sequence_, syncCursor_, receiver);
    message.sync = true;
    return {address, std::move(message)};
}

GossipMessage Membership::syncReply(const GossipMessage &request) const
{
    GossipMessage message{GossipKind::Ack, request.sequence, self_.id, self_.id, {self_}, {}, static_cast<std::uint32_t>(liveCount() + 1), true};
    std::size_t budget = options_.maxDatagramSize - MaxHeaderSize - 2 * self_.id.value().size() - maxEncodedSize(self_);
    for (auto entry = peers_.upper_bound(request.target); entry != peers_.end(); ++entry) {
        const Member &member = entry->second.member;
        if (!isLive(member)) {
            continue;
        }
        if (maxEncodedSize(member) > budget) {
            break;
        }
        budget -= maxEncodedSize(member);
        message.members.push_back(member);
    }
    return message;
}

std::vector<OutgoingGossip> Membership::receivePing(const std::string &source, const GossipMessage &message)
{
    if (message.sync) {
        return {{source, syncReply(message)}};
    }
    return {{source, makeMessage(GossipKind::Ack, message.sequence, self_.id, message.from)}};
}

std::vector<OutgoingGossip> Membership::receivePingRequest(TimePoint now, const std::string &source, const GossipMessage &message)
{
    const auto target = peers_.find(message.target);
    if (target == peers_.end()) {
        return {};
    }
    relayedPings_[++sequence_] = {source, message.sequence, message.target, now};
    return {ping(target->second.member.gossipAddress, message.target, sequence_)};
}

std::vector<OutgoingGossip> Membership::receiveAck(const GossipMessage &message)
{
    if (probe_ && probe_->sequence == message.sequence && probe_->target == message.target) {
        probe_->acknowledged = true;
    }
    const auto relay = relayedPings_.find(message.sequence);
    if (relay == relayedPings_.end() || relay->second.target != message.from) {
        return {};
    }
    const RelayedPing completed = relay->second;
    relayedPings_.erase(relay);
    return {{completed.requester, makeMessage(GossipKind::Ack, completed.sequence, completed.target, {})}};
}

void Membership::applyUpdate(TimePoint now, const Member &update, bool fromSubject)
{
    if (update.id == self_.id) {
        refute(update);
        return;
    }
    const auto entry = peers_.find(update.id);
    if (entry == peers_.end()) {
        // An unknown member that is already dead is not stored.
        if (update.status != MemberStatus::Dead) {
            storePeer(now, update);
        }
        return;
    }
    Member &current = entry->second.member;
    if (supersedes(update, current)) {
        storePeer(now, update);
    } else if (fromSubject && update.incarnation == current.incarnation && update.configVersion > current.configVersion) {
        // A new configuration version alone is taken only from the member itself and is not propagated. Otherwise each publication would cause an update
        // of every member.
        current.configVersion = update.configVersion;
        ++revision_;
    }
}

void Membership::storePeer(TimePoint now, const Member &member)
{
    const auto [entry, inserted] = peers_.insert_or_assign(member.id, Peer{member, now});
    if (inserted && !probeOrder_.empty()) {
        // Inserted at a random position, so that a new member is probed within one round on average.
        const auto position = std::uniform_int_distribution<std::size_t>(0, probeOrder_.size())(random_);
        probeOrder_.insert(probeOrder_.begin() + static_cast<std::ptrdiff_t>(position), member.id);
    }
    pendingUpdates_.add(member.id, member);
    ++revision_;
}

void Membership::refute(const Member &update)
{
    const bool stale = update.incarnation < self_.incarnation;
    const bool agrees = update.incarnation == self_.incarnation && update.status <= self_.status;
    if (stale || agrees) {
        return;
    }
    // Also covers updates about an earlier process of this VM whose clock was ahead.
    self_.incarnation = update.incarnation + 1;
    ++refutations_;
    announceSelf();
}

void Membership::announceSelf()
{
    pendingUpdates_.add(self_.id, self_);
    ++revision_;
}

std::vector<OutgoingGossip> Membership::leave()
{
    self_.status = MemberStatus::Leaving;
    ++self_.incarnation;
    announceSelf();
    std::vector<OutgoingGossip> outgoing;
    // Sent to several members at once, because the process may stop before regular periods have spread the update.
    for (const VmId &id : randomMembers(2 * IndirectProbeCount, {})) {
        outgoing.push_back(ping(peers_.at(id).member.gossipAddress, id, ++sequence_));
    }
    return outgoing;
}

void Membership::setConfigVersion(std::uint64_t configVersion)
{
    if (self_.configVersion != configVersion) {
        self_.configVersion = configVersion;
        ++revision_;
    }
}

void Membership::setReady(bool ready)
{
    if (self_.ready != ready) {
        self_.ready = ready;
        ++self_.incarnation;
        announceSelf();
    }
}

void Membership::setEntry(const std::string &address, std::uint64_t incarnation)
{
    if (self_.entryAddress != address || self_.entryIncarnation != incarnation) {
        self_.entryAddress = address;
        self_.entryIncarnation = incarnation;
        ++self_.incarnation;
        announceSelf();
    }
}

void Membership::addRumor(const EndpointRumor &rumor)
{
    pendingRumors_.add(rumor.endpoint, rumor);
}

std::vector<EndpointRumor> Membership::takeRumors()
{
    return std::exchange(receivedRumors_, {});
}

OutgoingGossip Membership::ping(const std::string &address, const VmId &receiver, std::uint64_t sequence)
{
    return {address, makeMessage(GossipKind::Ping, sequence, {}, receiver)};
}

GossipMessage Membership::makeMessage(GossipKind kind, std::uint64_t sequence, const VmId &target, const VmId &receiver)
{
    GossipMessage message{kind, sequence, self_.id, target, {self_}, {}, static_cast<std::uint32_t>(liveCount() + 1), false};
    const std::size_t fixed = MaxHeaderSize + self_.id.value().size() + target.value().size() + maxEncodedSize(self_);
    std::size_t budget = options_.maxDatagramSize - std::min(options_.maxDatagramSize, fixed);
    // A receiver that is not recorded as alive must see its record to be able to refute it.
    const Member *receiverState = find(receiver);
    if (receiverState != nullptr && receiverState->status != MemberStatus::Alive && maxEncodedSize(*receiverState) <= budget) {
        message.members.push_back(*receiverState);
        budget -= maxEncodedSize(*receiverState);
    }
    for (Member &update : pendingUpdates_.take(budget, maxTransmissions())) {
        if (update.id != self_.id) {
            message.members.push_back(std::move(update));
        }
    }
    message.rumors = pendingRumors_.take(budget, maxTransmissions());
    addRandomMembers(message, budget);
    return message;
}

void Membership::addRandomMembers(GossipMessage &message, std::size_t &budget)
{
    for (const VmId &id : randomMembers(RandomMembersPerMessage, message.from)) {
        const Member &member = peers_.at(id).member;
        if (maxEncodedSize(member) > budget) {
            return;
        }
        budget -= maxEncodedSize(member);
        message.members.push_back(member);
    }
}

std::vector<VmId> Membership::randomMembers(std::size_t count, const VmId &excluded)
{
    std::vector<VmId> candidates;
    for (const auto &[id, peer] : peers_) {
        if (isLive(peer.member) && id != excluded) {
            candidates.push_back(id);
        }
    }
    std::vector<VmId> chosen;
    std::ranges::sample(candidates, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(std::min(count, candidates.size())), random_);
    std::ranges::shuffle(chosen, random_);
    return chosen;
}

unsigned Membership::maxTransmissions() const
{
    return TransmissionFactor * static_cast<unsigned>(std::ceil(std::log2(static_cast<double>(liveCount() + 2))));
}

Duration Membership::suspicionTimeout() const
{
    const double factor = std::max(1.0, std::log10(static_cast<double>(liveCount() + 1)));
    return std::chrono::duration_cast<Duration>(options_.baseSuspicionTimeout * factor);
}

std::size_t Membership::liveCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(peers_, [](const auto &entry) { return isLive(entry.second.member); }));
}

const Member &Membership::self() const
{
    return self_;
}

const Member *Membership::find(const VmId &id) const
{
    const auto entry = peers_.find(id);
    return entry == peers_.end() ? nullptr : &entry->second.member;
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> members{self_};
    for (const auto &[id, peer] : peers_) {
        members.push_back(peer.member);
    }
    std::ranges::sort(members, {}, &Member::id);
    return members;
}

std::vector<VmId> Membership::liveVms() const
{
    std::vector<VmId> live;
    for (const Member &member : members()) {
        if (isLive(member)) {
            live.push_back(member.id);
        }
    }
    return live;
}

std::uint64_t Membership::highestConfigVersion() const
{
    std::uint64_t highest = self_.configVersion;
    for (const auto &[id, peer] : peers_) {
        highest = std::max(highest, peer.member.configVersion);
    }
    return highest;
}

std::uint64_t Membership::revision() const
{
    return revision_;
}

std::uint64_t Membership::refutations() const
{
    return refutations_;
}

}
