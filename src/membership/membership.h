#pragma once

#include "base/time.h"
#include "membership/broadcastqueue.h"
#include "membership/gossipmessage.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Lentillock
{

/// A message that the caller must send to @p address.
struct OutgoingGossip {
    std::string address;
    GossipMessage message;

    auto operator<=>(const OutgoingGossip &) const = default;
};

struct MembershipOptions {
    milliseconds probePeriod{1000}; ///< Protocol period, in which one member is probed.
    milliseconds ackTimeout{300}; ///< Time before indirect probes are requested. A round trip between zones takes about 10 ms.
    milliseconds baseSuspicionTimeout{3000}; ///< Time in which a suspect can refute, multiplied by the decimal logarithm of the member count.
    milliseconds deadRetention{std::chrono::hours(1)}; ///< Time to keep the record of a dead member, so that outdated updates do not revive it.
    milliseconds pauseThreshold{2000}; ///< A longer interval between two calls of advance() counts as a pause of the process.
    std::size_t maxDatagramSize = 1400; ///< In bytes; fits an Ethernet frame with IP and UDP headers.
};

/// SWIM-style failure detection and dissemination. Each member sends and receives a constant number of messages per protocol period.
///
/// Performs no I/O and reads no clock: the caller passes in received messages and the time, and sends the returned messages. Call advance() at least
/// every 100 ms.
class Membership
{
public:
    /// @p self contains the addresses of this member; its incarnation is the start time of the process in milliseconds since the Unix epoch.
    Membership(Member self, std::uint64_t seed, MembershipOptions options = {});

    /// Sets the addresses to ping while no other member is live, and periodically to rejoin after a network partition.
    void setSeeds(const std::vector<std::string> &addresses);

    std::vector<OutgoingGossip> advance(TimePoint now);
    std::vector<OutgoingGossip> receive(TimePoint now, const std::string &source, const GossipMessage &message);

    /// Announces that this VM is leaving. The returned messages propagate this immediately.
    std::vector<OutgoingGossip> leave();

    void setConfigVersion(std::uint64_t configVersion);
    void setReady(bool ready);
    void setEntry(const std::string &address, std::uint64_t incarnation);
    void addRumor(const EndpointRumor &rumor);

    /// Rumors received since the last call.
    std::vector<EndpointRumor> takeRumors();

    [[nodiscard]] const Member &self() const;

    /// All known members, including this one, in order of identifier.
    [[nodiscard]] std::vector<Member> members() const;
    [[nodiscard]] const Member *find(const VmId &id) const;

    /// Members that are alive or suspect, including this one, in order of identifier.
    [[nodiscard]] std::vector<VmId> liveVms() const;

    /// Highest configuration version reported by any member.
    [[nodiscard]] std::uint64_t highestConfigVersion() const;

    /// Increases with every change of members().
    [[nodiscard]] std::uint64_t revision() const;

    /// Number of times that the incarnation was raised to refute an update about this member.
    [[nodiscard]] std::uint64_t refutations() const;

private:
    struct Peer {
        Member member;
        TimePoint updatedAt; ///< When the last update was accepted. Pauses of this process are added while the member is suspect.
    };
    struct Probe {
        std::uint64_t sequence = 0;
        VmId target;
        std::uint64_t incarnation = 0;
        TimePoint sentAt;
        bool indirectRequested = false; ///< Other members have been asked to probe the target.
        bool acknowledged = false;
    };
    /// A ping sent for another member; its acknowledgement is forwarded to the requester.
    struct RelayedPing {
        std::string requester;
        std::uint64_t sequence = 0;
        VmId target;
        TimePoint sentAt;
    };

    GossipMessage makeMessage(GossipKind kind, std::uint64_t sequence, const VmId &target, const VmId &receiver);
    void addRandomMembers(GossipMessage &message, std::size_t &budget);
    OutgoingGossip syncRequest(const std::string &address, const VmId &receiver);
    GossipMessage syncReply(const GossipMessage &request) const;
    std::vector<OutgoingGossip> continueSync(const std::string &source, const GossipMessage &message);
    [[nodiscard]] bool isSyncDue(const GossipMessage &message) const;
    OutgoingGossip ping(const std::string &address, const VmId &receiver, std::uint64_t sequence);
    void startPeriod(TimePoint now, std::vector<OutgoingGossip> &outgoing);
    void endPeriod(TimePoint now);
    void rejoin(std::vector<OutgoingGossip> &outgoing);
    void requestIndirectProbes(TimePoint now, std::vector<OutgoingGossip> &outgoing);
    void resumeAfterPause(TimePoint now, Duration pause);
    void expireMembers(TimePoint now);
    void applyUpdate(TimePoint now, const Member &update, bool fromSubject);
    void refute(const Member &update);
    void announceSelf();
    void storePeer(TimePoint now, const Member &member);
    std::optional<VmId> nextProbeTarget();
    std::vector<VmId> randomMembers(std::size_t count, const VmId &excluded);
    std::vector<OutgoingGossip> receivePing(const std::string &source, const GossipMessage &message);
    std::vector<OutgoingGossip> receivePingRequest(TimePoint now, const std::string &source, const GossipMessage &message);
    std::vector<OutgoingGossip> receiveAck(const GossipMessage &message);
    [[nodiscard]] unsigned maxTransmissions() const;
    [[nodiscard]] Duration suspicionTimeout() const;
    [[nodiscard]] std::size_t liveCount() const;

    Member self_;
    MembershipOptions options_;
    std::mt19937_64 random_;
    std::map<VmId, Peer> peers_;
    std::vector<VmId> probeOrder_;
    std::vector<std::string> seeds_;
    std::optional<Probe> probe_;
    std::map<std::uint64_t, RelayedPing> relayedPings_;
    BroadcastQueue<VmId, Member> pendingUpdates_;
    BroadcastQueue<EndpointId, EndpointRumor> pendingRumors_;
    std::vector<EndpointRumor> receivedRumors_;
    std::optional<TimePoint> lastAdvance_;
    TimePoint periodEnd_;
    VmId syncCursor_; ///< Last member received by the current or interrupted sync; empty if there is none.
    std::optional<std::uint64_t> lastSyncPeriod_; ///< Value of periodCount_ when the last sync was started.
    std::uint64_t sequence_ = 0;
    std::uint64_t periodCount_ = 0;
    std::uint64_t revision_ = 1;
    std::uint64_t refutations_ = 0;
};

}
