#pragma once

#include "membership/gossipmessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace Lentillock
{

std::string encodeGossip(const GossipMessage &message);

/// Nothing if @p datagram is not a valid message.
std::optional<GossipMessage> decodeGossip(std::string_view datagram);

}
