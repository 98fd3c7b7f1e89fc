#pragma once

#include "dispatch/servingview.h"
#include "membership/member.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Lentillock
{

enum class GossipKind {
    Ping,
    PingRequest,
    Ack,
};

/// A change of the health of an endpoint that one VM observed and propagates to the others.
struct EndpointRumor {
    EndpointId endpoint;
    std::string generation;
    EndpointHealth health = EndpointHealth::Suspect;

    auto operator<=>(const EndpointRumor &) const = default;
};

/// Content of one UDP datagram between control processes.
struct GossipMessage {
    GossipKind kind = GossipKind::Ping;
    std::uint64_t sequence = 0;
    VmId from;
    VmId target; ///< PingRequest: member to probe. Ack: member that was probed. Sync request: last member received so far.
    std::vector<Member> members; ///< The sender is the first.
    std::vector<EndpointRumor> rumors;
    std::uint32_t liveMembers = 0; ///< Number of members that the sender considers live, including itself.
    bool sync = false; ///< A Ping that requests the members after @c target in order of identifier, or the Ack that returns them.

    auto operator<=>(const GossipMessage &) const = default;
};

/// Upper bounds of the encoded size in bytes.
std::size_t maxEncodedSize(const Member &member);
std::size_t maxEncodedSize(const EndpointRumor &rumor);

}
