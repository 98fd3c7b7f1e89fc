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

/// Send @p message to @p address.
struct SendGossip {
    std::string address;
    GossipMessage message;

    auto operator<=>(const SendGossip &) const = default;
};

struct MembershipOptions {
    milliseconds period{1000}; ///< One member is probed in each period.
    milliseconds ackTimeout{300}; ///< Without an answer by then, other members are asked to probe. A round trip between zones takes about 10 ms.
    milliseconds suspicion{3000}; ///< Time for a suspect to contradict, multiplied by the decimal logarithm of the member count.
    milliseconds deadRetention{std::chrono::hours(1)}; ///< How long a dead member is remembered, so that old news do not revive it.
    milliseconds pauseLimit{2000}; ///< A longer time between two calls of advance() means that this process was paused.
    std::size_t maxDatagram = 1400; ///< In bytes; fits an Ethernet frame with IP and UDP headers.
};

/// SWIM-style failure detection and dissemination. Each member sends and receives a constant number of messages per period.
///
/// A decision object: the shell passes in datagrams and the time, and sends the returned messages. Call advance() at least every 100 ms.
class Membership
{
public:
    /// @p self has the member's addresses; its incarnation is the start of the process in milliseconds since the Unix epoch.
    Membership(Member self, std::uint64_t seed, MembershipOptions options = {});

    /// Addresses to probe until a member answers, and from time to time to rejoin the rest after a network cut.
    void setSeeds(const std::vector<std::string> &addresses);

    std::vector<SendGossip> advance(TimePoint now);
    std::vector<SendGossip> receive(TimePoint now, const std::string &source, const GossipMessage &message);

    /// Announces that this VM leaves; the returned messages make it known at once.
    std::vector<SendGossip> leave();

    void setConfigVersion(std::uint64_t configVersion);
    void setReady(bool ready);
    void setEntry(const std::string &address, std::uint64_t incarnation);
    void addRumor(const EndpointRumor &rumor);

    /// Rumors received since the last call.
    std::vector<EndpointRumor> takeRumors();

    [[nodiscard]] const Member &self() const;

    /// All known members, this one included.
    [[nodiscard]] std::vector<Member> members() const;
    [[nodiscard]] const Member *find(const VmId &id) const;

    /// Members that are alive or suspect, this one included, in order of identifier.
    [[nodiscard]] std::vector<VmId> liveVms() const;

    /// Highest configuration version that any member has told.
    [[nodiscard]] std::uint64_t highestConfigVersion() const;

    /// Rises with every change of members().
    [[nodiscard]] std::uint64_t revision() const;

    /// How often the incarnation was raised to contradict a suspicion.
    [[nodiscard]] std::uint64_t refutations() const;

private:
    struct Known {
        Member member;
        TimePoint changed; ///< When the status was last set.
    };
    struct Probe {
        std::uint64_t sequence = 0;
        VmId target;
        std::uint64_t incarnation = 0;
        TimePoint sentAt;
        bool indirect = false; ///< Other members have been asked.
        bool answered = false;
    };
    struct Relay {
        std::string requester;
        std::uint64_t sequence = 0;
        VmId target;
        TimePoint sentAt;
    };

    GossipMessage makeMessage(GossipKind kind, std::uint64_t sequence, const VmId &target, const VmId &receiver);
    void addRandomMembers(GossipMessage &message, std::size_t &budget);
    SendGossip syncRequest(const std::string &address, const VmId &receiver);
    GossipMessage syncAnswer(const GossipMessage &request) const;
    std::vector<SendGossip> continueSync(const std::string &source, const GossipMessage &message);
    [[nodiscard]] bool syncIsDue(const GossipMessage &message) const;
    SendGossip ping(const std::string &address, const VmId &receiver, std::uint64_t sequence);
    void startPeriod(TimePoint now, std::vector<SendGossip> &sends);
    void endPeriod(TimePoint now);
    void rejoin(std::vector<SendGossip> &sends);
    void askOthers(TimePoint now, std::vector<SendGossip> &sends);
    void resumeAfterPause(TimePoint now, Duration pause);
    void expire(TimePoint now);
    void merge(TimePoint now, const Member &update, bool firstHand);
    void contradict(const Member &update);
    void announceSelf();
    void store(TimePoint now, const Member &member);
    std::optional<VmId> nextTarget();
    std::vector<VmId> randomMembers(std::size_t count, const VmId &excluded);
    std::vector<SendGossip> receivePing(const std::string &source, const GossipMessage &message);
    std::vector<SendGossip> receivePingRequest(TimePoint now, const std::string &source, const GossipMessage &message);
    std::vector<SendGossip> receiveAck(const GossipMessage &message);
    [[nodiscard]] unsigned maxSends() const;
    [[nodiscard]] Duration suspicionTime() const;
    [[nodiscard]] std::size_t liveCount() const;

    Member self_;
    MembershipOptions options_;
    std::mt19937_64 random_;
    std::map<VmId, Known> known_;
    std::vector<VmId> probeOrder_;
    std::vector<std::string> seeds_;
    std::optional<Probe> probe_;
    std::map<std::uint64_t, Relay> relays_;
    BroadcastQueue<VmId, Member> updates_;
    BroadcastQueue<EndpointId, EndpointRumor> rumors_;
    std::vector<EndpointRumor> received_;
    std::optional<TimePoint> lastAdvance_;
    TimePoint periodEnd_;
    VmId syncCursor_; ///< Last member received by the running or interrupted sync; empty if there is none.
    std::optional<std::uint64_t> lastSync_; ///< Period in which the last sync was started.
    std::uint64_t sequence_ = 0;
    std::uint64_t periods_ = 0;
    std::uint64_t revision_ = 1;
    std::uint64_t refutations_ = 0;
};

}
