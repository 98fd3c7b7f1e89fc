#include "membership/gossipmessage.h"

namespace Lentillock
{

namespace
{

/// Tags and lengths of all fields of the protobuf message, plus its numeric fields at their maximum encoded size.
constexpr std::size_t MemberFieldOverhead = 64;
constexpr std::size_t RumorFieldOverhead = 12;

}

std::size_t maxEncodedSize(const Member &member)
{
    return MemberFieldOverhead + member.id.value().size() + member.gossipAddress.size() + member.controlAddress.size() + member.entryAddress.size()
        + member.zone.value().size();
}

std::size_t maxEncodedSize(const EndpointRumor &rumor)
{
    return RumorFieldOverhead + rumor.endpoint.value().size() + rumor.generation.size();
}

}
