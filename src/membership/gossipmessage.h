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

/// What one VM has found out about an endpoint, for the VMs that have not yet noticed.
struct EndpointRumor {
    EndpointId endpoint;
    std::string generation;
    EndpointHealth health = EndpointHealth::Suspect;

    auto operator<=>(const EndpointRumor &) const = default;
};

/// One UDP datagram between control processes.
struct GossipMessage {
    GossipKind kind = GossipKind::Ping;
    std::uint64_t sequence = 0;
    VmId from;
    VmId target; ///< Member to probe, for PingRequest, or that was probed, for Ack.
    std::vector<Member> members; ///< The sender itself first.
    std::vector<EndpointRumor> rumors;
    std::uint32_t liveMembers = 0; ///< Members that the sender holds for live, itself included.
    bool sync = false; ///< A Ping that asks for the members after @c target in order of identifier, or the Ack with them.

    auto operator<=>(const GossipMessage &) const = default;
};

/// Upper bounds of the encoded sizes in bytes.
std::size_t encodedSizeBound(const Member &member);
std::size_t encodedSizeBound(const EndpointRumor &rumor);

}
