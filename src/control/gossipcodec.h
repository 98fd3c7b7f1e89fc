#pragma once

#include "membership/gossipmessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace Lentillock
{

std::string encodeGossip(const GossipMessage &message);

/// Returns nothing if @p datagram is not a valid message. Invalid member updates and rumors in a valid message are ignored.
std::optional<GossipMessage> decodeGossip(std::string_view datagram);

}
