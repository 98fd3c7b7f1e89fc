#pragma once

#include "gateway/crashattribution.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lentillock
{

/// A datagram with a part of what a VM knows of crashes and blocked prompt parts.
struct CrashAttributionMessage {
    CrashAttributionUpdate update{};
    bool mustForward = false; ///< The receiver passes it on to the other VMs of its group.

    auto operator<=>(const CrashAttributionMessage &) const = default;
};

/// Encodes @p update as datagrams. Times are sent as ages relative to @p now.
std::vector<std::string> encodeCrashAttribution(const CrashAttributionUpdate &update, bool mustForward, TimePoint now);

/// Decodes a datagram that arrived at @p now. Returns std::nullopt if @p bytes is not a message of the type and of the supported version.
std::optional<CrashAttributionMessage> decodeCrashAttribution(std::string_view bytes, TimePoint now);

}
