#include "control/gossipcodec.h"

#include "lentillock.pb.h"

namespace Lentillock
{

namespace rpc = ::lentillock::rpc;

namespace
{

void encode(const Member &member, rpc::MemberUpdate &update)
{
    update.set_id(member.id.value());
    update.set_incarnation(member.incarnation);
    update.set_state(static_cast<std::uint32_t>(member.status));
    update.set_gossip_address(member.gossipAddress);
    update.set_control_address(member.controlAddress);
    update.set_entry_address(member.entryAddress);
    update.set_zone(member.zone.value());
    update.set_config_version(member.configVersion);
    update.set_rules_version(member.rulesVersion);
    update.set_ready(member.ready);
    update.set_entry_incarnation(member.entryIncarnation);
}

Member decode(const rpc::MemberUpdate &update)
{
    Member member;
    member.id = VmId(update.id());
    member.incarnation = update.incarnation();
    member.status = static_cast<MemberStatus>(update.state());
    member.gossipAddress = update.gossip_address();
    member.controlAddress = update.control_address();
    member.entryAddress = update.entry_address();
    member.zone = ZoneId(update.zone());
    member.configVersion = update.config_version();
    member.rulesVersion = update.rules_version();
    member.ready = update.ready();
    member.entryIncarnation = update.entry_incarnation();
    return member;
}

bool isValid(const rpc::MemberUpdate &update)
{
    return !update.id().empty() && update.state() <= static_cast<std::uint32_t>(MemberStatus::Dead);
}

}

std::string encodeGossip(const GossipMessage &message)
{
    rpc::Gossip gossip;
    gossip.set_kind(static_cast<rpc::Gossip::Kind>(message.kind));
    gossip.set_sequence(message.sequence);
    gossip.set_from(message.from.value());
    gossip.set_target(message.target.value());
    for (const Member &member : message.members) {
        encode(member, *gossip.add_members());
    }
    for (const EndpointRumor &rumor : message.rumors) {
        rpc::EndpointRumor &encoded = *gossip.add_endpoints();
        encoded.set_endpoint(rumor.endpoint.value());
        encoded.set_generation(rumor.generation);
        encoded.set_health(static_cast<rpc::EndpointHealth>(rumor.health));
    }
    gossip.set_live_members(message.liveMembers);
    gossip.set_sync(message.sync);
    return gossip.SerializeAsString();
}

std::optional<GossipMessage> decodeGossip(std::string_view datagram)
{
    rpc::Gossip gossip;
    if (!gossip.ParseFromArray(datagram.data(), static_cast<int>(datagram.size())) || gossip.from().empty() || !rpc::Gossip::Kind_IsValid(gossip.kind())) {
        return std::nullopt;
    }
    GossipMessage message{
        static_cast<GossipKind>(gossip.kind()), gossip.sequence(), VmId(gossip.from()), VmId(gossip.target()), {}, {}, gossip.live_members(), gossip.sync()};
    for (const rpc::MemberUpdate &update : gossip.members()) {
        if (isValid(update)) {
            message.members.push_back(decode(update));
        }
    }
    for (const rpc::EndpointRumor &rumor : gossip.endpoints()) {
        if (rpc::EndpointHealth_IsValid(rumor.health())) {
            message.rumors.push_back({EndpointId(rumor.endpoint()), rumor.generation(), static_cast<EndpointHealth>(rumor.health())});
        }
    }
    return message;
}

}
