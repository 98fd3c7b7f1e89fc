#include "membership/gossipmessage.h"

namespace Lentillock
{

namespace
{

/// Tags and lengths of all members of a protobuf message, plus its 64-bit numbers at their greatest encoded size.
constexpr std::size_t MemberOverhead = 64;
constexpr std::size_t RumorOverhead = 12;

}

std::size_t encodedSizeBound(const Member &member)
{
    return MemberOverhead + member.id.value().size() + member.gossipAddress.size() + member.controlAddress.size() + member.entryAddress.size()
        + member.zone.value().size();
}

std::size_t encodedSizeBound(const EndpointRumor &rumor)
{
    return RumorOverhead + rumor.endpoint.value().size() + rumor.generation.size();
}

}
