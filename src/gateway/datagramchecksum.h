#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Lentillock
{

/// Appends a checksum to a message between VMs, so that foreign and damaged datagrams are recognized.
void appendChecksum(std::string &bytes);

/// Returns @p bytes without the checksum at their end, or std::nullopt if it does not match.
std::optional<std::string_view> verifyChecksum(std::string_view bytes);

}
