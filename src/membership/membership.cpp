#include "membership/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Lentillock
{

namespace
{

constexpr std::size_t IndirectProbes = 3;
/// Each update is sent this many times the binary logarithm of the member count, which reaches all members with high probability at 10 % loss.
constexpr unsigned SendsFactor = 3;
/// Members added to each message beside the news; repairs what lost messages left out.
constexpr std::size_t RepairMembers = 2;
/// A seed or dead member is probed once in this many periods, so that both sides of a healed network cut meet again.
constexpr std::uint64_t RejoinPeriods = 5;
/// Kind, sequence, sender, target and the message's own overhead.
constexpr std::size_t HeaderBound = 56;
/// A member that lacks this part of another's members asks for the list after SyncPeriods; one that lacks fewer waits for the usual messages longer.
constexpr std::size_t SyncFraction = 10;
/// Periods between two starts of a sync. A list of 300 members takes about 39 KB.
constexpr std::uint64_t SyncPeriods = 5;
constexpr std::uint64_t SmallSyncPeriods = 30;

bool isLive(const Member &member)
{
    return member.status == MemberStatus::Alive || member.status == MemberStatus::Suspect;
}

/// Whether @p update says something that @p known does not, by incarnation and then by status.
bool supersedes(const Member &update, const Member &known)
{
    return update.incarnation != known.incarnation ? update.incarnation > known.incarnation : update.status > known.status;
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

std::vector<SendGossip> Membership::advance(TimePoint now)
{
    std::vector<SendGossip> sends;
    if (lastAdvance_ && now - *lastAdvance_ > options_.pauseLimit) {
        resumeAfterPause(now, now - *lastAdvance_);
    }
    const bool first = !lastAdvance_;
    lastAdvance_ = now;
    if (first || now >= periodEnd_) {
        endPeriod(now);
        expire(now);
        startPeriod(now, sends);
    } else if (probe_ && !probe_->answered && !probe_->indirect && now >= probe_->sentAt + options_.ackTimeout) {
        askOthers(now, sends);
    }
    return sends;
}

void Membership::resumeAfterPause(TimePoint now, Duration pause)
{
    // Nobody could answer a paused process, so silence during the pause says nothing about the others.
    probe_.reset();
    for (auto &[id, known] : known_) {
        if (known.member.status == MemberStatus::Suspect) {
            known.changed = std::min(known.changed + pause, now);
        }
    }
}

void Membership::startPeriod(TimePoint now, std::vector<SendGossip> &sends)
{
    periodEnd_ = now + options_.period;
    ++periods_;
    if (liveCount() == 0 || periods_ % RejoinPeriods == 0) {
        rejoin(sends);
    }
    const auto target = nextTarget();
    if (!target) {
        return;
    }
    const Member &member = known_.at(*target).member;
    probe_ = Probe{++sequence_, *target, member.incarnation, now, false, false};
    sends.push_back(ping(member.gossipAddress, *target, probe_->sequence));
}

void Membership::rejoin(std::vector<SendGossip> &sends)
{
    std::set<std::string> live;
    std::vector<std::string> candidates;
    for (const auto &[id, known] : known_) {
        if (isLive(known.member)) {
            live.insert(known.member.gossipAddress);
        } else if (known.member.status == MemberStatus::Dead) {
            candidates.push_back(known.member.gossipAddress);
        }
    }
    std::ranges::copy_if(seeds_, std::back_inserter(candidates), [&](const std::string &seed) { return !live.contains(seed); });
    std::ranges::shuffle(candidates, random_);
    candidates.resize(std::min(candidates.size(), live.empty() ? IndirectProbes : std::size_t{1}));
    for (const std::string &address : candidates) {
        sends.push_back(ping(address, {}, ++sequence_));
    }
}

std::optional<VmId> Membership::nextTarget()
{
    for (int round = 0; round < 2; ++round) {
        while (!probeOrder_.empty()) {
            const VmId id = probeOrder_.back();
            probeOrder_.pop_back();
            const auto known = known_.find(id);
            if (known != known_.end() && known->second.member.status != MemberStatus::Dead) {
                return id;
            }
        }
        for (const auto &[id, known] : known_) {
            if (known.member.status != MemberStatus::Dead) {
                probeOrder_.push_back(id);
            }
        }
        std::ranges::shuffle(probeOrder_, random_);
    }
    return std::nullopt;
}

void Membership::askOthers(TimePoint now, std::vector<SendGossip> &sends)
{
    probe_->indirect = true;
    for (const VmId &helper : randomMembers(IndirectProbes, probe_->target)) {
        GossipMessage message = makeMessage(GossipKind::PingRequest, probe_->sequence, probe_->target, helper);
        sends.push_back({known_.at(helper).member.gossipAddress, std::move(message)});
    }
    // The first ping may have been lost, so the member itself is asked once more.
    sends.push_back(ping(known_.at(probe_->target).member.gossipAddress, probe_->target, probe_->sequence));
    std::erase_if(relays_, [&](const auto &relay) { return now - relay.second.sentAt > 2 * options_.period; });
}

void Membership::endPeriod(TimePoint now)
{
    const auto probe = std::exchange(probe_, std::nullopt);
    if (!probe || probe->answered) {
        return;
    }
    const auto known = known_.find(probe->target);
    if (known == known_.end() || known->second.member.incarnation != probe->incarnation) {
        return;
    }
    Member update = known->second.member;
    // A member that said it was leaving needs no suspicion.
    update.status = update.status == MemberStatus::Leaving ? MemberStatus::Dead : MemberStatus::Suspect;
    merge(now, update, false);
}

void Membership::expire(TimePoint now)
{
    std::vector<Member> dead;
    for (const auto &[id, known] : known_) {
        if (known.member.status == MemberStatus::Suspect && now - known.changed >= suspicionTime()) {
            dead.push_back(known.member);
            dead.back().status = MemberStatus::Dead;
        }
    }
    for (const Member &member : dead) {
        merge(now, member, false);
    }
    const auto forgotten = std::erase_if(
        known_, [&](const auto &entry) { return entry.second.member.status == MemberStatus::Dead && now - entry.second.changed >= options_.deadRetention; });
    revision_ += forgotten > 0 ? 1 : 0;
}

std::vector<SendGossip> Membership::receive(TimePoint now, const std::string &source, const GossipMessage &message)
{
    if (message.from == self_.id) {
        return {};
    }
    for (const Member &update : message.members) {
        merge(now, update, update.id == message.from);
    }
    std::ranges::copy(message.rumors, std::back_inserter(received_));
    std::vector<SendGossip> sends;
    if (message.kind == GossipKind::Ping) {
        sends = receivePing(source, message);
    } else if (message.kind == GossipKind::PingRequest) {
        sends = receivePingRequest(now, source, message);
    } else {
        sends = receiveAck(message);
    }
    std::ranges::move(continueSync(source, message), std::back_inserter(sends));
    return sends;
}

bool Membership::syncIsDue(const GossipMessage &message) const
{
    const std::size_t own = liveCount() + 1;
    if (message.sync || own >= message.liveMembers) {
        return false;
    }
    const bool lacksMany = own + message.liveMembers / SyncFraction <= message.liveMembers;
    return !lastSync_ || periods_ >= *lastSync_ + (lacksMany ? SyncPeriods : SmallSyncPeriods);
}

std::vector<SendGossip> Membership::continueSync(const std::string &source, const GossipMessage &message)
{
    const bool isAnswer = message.kind == GossipKind::Ack && message.sync;
    if (isAnswer && message.members.size() > 1 && message.members.back().id > syncCursor_) {
        syncCursor_ = message.members.back().id;
        return {syncRequest(source, message.from)};
    }
    if (isAnswer) {
        syncCursor_ = VmId();
        return {};
    }
    if (syncIsDue(message)) {
        lastSync_ = periods_;
        return {syncRequest(source, message.from)};
    }
    return {};
}

SendGossip Membership::syncRequest(const std::string &address, const VmId &receiver)
{
    GossipMessage message = makeMessage(GossipKind::Ping, ++sequence_, syncCursor_, receiver);
    message.sync = true;
    return {address, std::move(message)};
}

GossipMessage Membership::syncAnswer(const GossipMessage &request) const
{
    GossipMessage message{GossipKind::Ack, request.sequence, self_.id, self_.id, {self_}, {}, static_cast<std::uint32_t>(liveCount() + 1), true};
    std::size_t budget = options_.maxDatagram - HeaderBound - 2 * self_.id.value().size() - encodedSizeBound(self_);
    for (auto entry = known_.upper_bound(request.target); entry != known_.end(); ++entry) {
        const Member &member = entry->second.member;
        if (!isLive(member)) {
            continue;
        }
        if (encodedSizeBound(member) > budget) {
            break;
        }
        budget -= encodedSizeBound(member);
        message.members.push_back(member);
    }
    return message;
}

std::vector<SendGossip> Membership::receivePing(const std::string &source, const GossipMessage &message)
{
    if (message.sync) {
        return {{source, syncAnswer(message)}};
    }
    return {{source, makeMessage(GossipKind::Ack, message.sequence, self_.id, message.from)}};
}

std::vector<SendGossip> Membership::receivePingRequest(TimePoint now, const std::string &source, const GossipMessage &message)
{
    const auto target = known_.find(message.target);
    if (target == known_.end()) {
        return {};
    }
    relays_[++sequence_] = {source, message.sequence, message.target, now};
    return {ping(target->second.member.gossipAddress, message.target, sequence_)};
}

std::vector<SendGossip> Membership::receiveAck(const GossipMessage &message)
{
    if (probe_ && probe_->sequence == message.sequence && probe_->target == message.target) {
        probe_->answered = true;
    }
    const auto relay = relays_.find(message.sequence);
    if (relay == relays_.end() || relay->second.target != message.from) {
        return {};
    }
    const Relay answered = relay->second;
    relays_.erase(relay);
    return {{answered.requester, makeMessage(GossipKind::Ack, answered.sequence, answered.target, {})}};
}

void Membership::merge(TimePoint now, const Member &update, bool firstHand)
{
    if (update.id == self_.id) {
        contradict(update);
        return;
    }
    const auto entry = known_.find(update.id);
    if (entry == known_.end()) {
        // A dead member that nobody here knew needs no entry.
        if (update.status != MemberStatus::Dead) {
            store(now, update);
        }
        return;
    }
    Member &known = entry->second.member;
    if (supersedes(update, known)) {
        store(now, update);
    } else if (firstHand && update.incarnation == known.incarnation && update.configVersion > known.configVersion) {
        // Versions are told by each member itself and not passed on, so that a publish does not cause an update of every member.
        known.configVersion = update.configVersion;
        ++revision_;
    }
}

void Membership::store(TimePoint now, const Member &member)
{
    const auto [entry, inserted] = known_.insert_or_assign(member.id, Known{member, now});
    if (inserted && !probeOrder_.empty()) {
        // A random place in the current round lets a new member be probed within one round on average.
        const auto place = std::uniform_int_distribution<std::size_t>(0, probeOrder_.size())(random_);
        probeOrder_.insert(probeOrder_.begin() + static_cast<std::ptrdiff_t>(place), member.id);
    }
    updates_.add(member.id, member);
    ++revision_;
}

void Membership::contradict(const Member &update)
{
    const bool stale = update.incarnation < self_.incarnation;
    const bool agrees = update.incarnation == self_.incarnation && update.status <= self_.status;
    if (stale || agrees) {
        return;
    }
    // Includes statements about an earlier process of this VM whose clock was ahead.
    self_.incarnation = update.incarnation + 1;
    ++refutations_;
    announceSelf();
}

void Membership::announceSelf()
{
    updates_.add(self_.id, self_);
    ++revision_;
}

std::vector<SendGossip> Membership::leave()
{
    self_.status = MemberStatus::Leaving;
    ++self_.incarnation;
    announceSelf();
    std::vector<SendGossip> sends;
    // Told to several members at once, since this process may not stay for enough periods to tell them in turn.
    for (const VmId &id : randomMembers(2 * IndirectProbes, {})) {
        sends.push_back(ping(known_.at(id).member.gossipAddress, id, ++sequence_));
    }
    return sends;
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
    rumors_.add(rumor.endpoint, rumor);
}

std::vector<EndpointRumor> Membership::takeRumors()
{
    return std::exchange(received_, {});
}

SendGossip Membership::ping(const std::string &address, const VmId &receiver, std::uint64_t sequence)
{
    return {address, makeMessage(GossipKind::Ping, sequence, {}, receiver)};
}

GossipMessage Membership::makeMessage(GossipKind kind, std::uint64_t sequence, const VmId &target, const VmId &receiver)
{
    GossipMessage message{kind, sequence, self_.id, target, {self_}, {}, static_cast<std::uint32_t>(liveCount() + 1), false};
    const std::size_t fixed = HeaderBound + self_.id.value().size() + target.value().size() + encodedSizeBound(self_);
    std::size_t budget = options_.maxDatagram - std::min(options_.maxDatagram, fixed);
    // A receiver that is held for suspect or dead must learn of it to contradict.
    const Member *told = find(receiver);
    if (told != nullptr && told->status != MemberStatus::Alive && encodedSizeBound(*told) <= budget) {
        message.members.push_back(*told);
        budget -= encodedSizeBound(*told);
    }
    for (Member &update : updates_.take(budget, maxSends())) {
        if (update.id != self_.id) {
            message.members.push_back(std::move(update));
        }
    }
    message.rumors = rumors_.take(budget, maxSends());
    addRandomMembers(message, budget);
    return message;
}

void Membership::addRandomMembers(GossipMessage &message, std::size_t &budget)
{
    for (const VmId &id : randomMembers(RepairMembers, message.from)) {
        const Member &member = known_.at(id).member;
        if (encodedSizeBound(member) > budget) {
            return;
        }
        budget -= encodedSizeBound(member);
        message.members.push_back(member);
    }
}

std::vector<VmId> Membership::randomMembers(std::size_t count, const VmId &excluded)
{
    std::vector<VmId> candidates;
    for (const auto &[id, known] : known_) {
        if (isLive(known.member) && id != excluded) {
            candidates.push_back(id);
        }
    }
    std::vector<VmId> chosen;
    std::ranges::sample(candidates, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(std::min(count, candidates.size())), random_);
    std::ranges::shuffle(chosen, random_);
    return chosen;
}

unsigned Membership::maxSends() const
{
    return SendsFactor * static_cast<unsigned>(std::ceil(std::log2(static_cast<double>(liveCount() + 2))));
}

Duration Membership::suspicionTime() const
{
    const double factor = std::max(1.0, std::log10(static_cast<double>(liveCount() + 1)));
    return std::chrono::duration_cast<Duration>(options_.suspicion * factor);
}

std::size_t Membership::liveCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(known_, [](const auto &entry) { return isLive(entry.second.member); }));
}

const Member &Membership::self() const
{
    return self_;
}

const Member *Membership::find(const VmId &id) const
{
    const auto entry = known_.find(id);
    return entry == known_.end() ? nullptr : &entry->second.member;
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> members{self_};
    for (const auto &[id, known] : known_) {
        members.push_back(known.member);
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
    for (const auto &[id, known] : known_) {
        highest = std::max(highest, known.member.configVersion);
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
