#pragma once

#include "base/identifier.h"
#include "gateway/endpointload.h"
#include "gateway/reportorder.h"
#include "gateway/viewfreshness.h"
#include "gateway/vmgroup.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lentillock
{

/// A load report that one VM sends to the others of its group.
struct LoadReportMessage {
    VmId vm;
    ReportNumber number{};
    std::uint32_t zone = 0; ///< Hash of the zone of the VM.
    bool startedLongPrompt = false; ///< The other groups must know of the change soon.
    ViewReport view{};
    double shortDemand = 0; ///< Expected number of concurrently generating short requests at the current arrival rate.
    std::vector<EndpointLoadReport> loads{};

    auto operator<=>(const LoadReportMessage &) const = default;
};

/// IPv4 addresses, in host byte order, of VMs that pass digests on to their group; 0 for none.
using RelayAddresses = std::array<std::uint32_t, 2>;

/// The loads of a group of VMs, which one VM of it sends to another group.
struct GroupDigestMessage {
    VmGroup group{};
    VmGroup target{};
    std::uint64_t reporterHash = 0; ///< Identifies the sending VM.
    ReportNumber number{};
    bool mustForward = false; ///< The receiver passes the digest on to the other VMs of its group.
    std::size_t vmCount = 0; ///< Number of VMs whose loads are included.
    ViewReport view{}; ///< The newest view of the group.
    std::uint32_t viewOwnerIp = 0; ///< VM that has read the endpoint list most recently.
    RelayAddresses relays{}; ///< VMs to which the target group should send its digests.
    milliseconds targetAge{0}; ///< Time since the last digest of the target group arrived; saturated if there was none.
    double shortDemand = 0;
    std::vector<EndpointLoadReport> loads{}; ///< New sums for these endpoints; those of other endpoints stay as they are.

    auto operator<=>(const GroupDigestMessage &) const = default;
};

/// Encodes @p message as one datagram. Numbers are rounded and saturated; entries beyond MaxReportedEndpoints are omitted.
std::string encodeLoadReport(const LoadReportMessage &message);
std::string encodeGroupDigest(const GroupDigestMessage &message);

/// Decodes a datagram. Returns std::nullopt if @p bytes is not a message of the type and of the supported version.
std::optional<LoadReportMessage> decodeLoadReport(std::string_view bytes);
std::optional<GroupDigestMessage> decodeGroupDigest(std::string_view bytes);

/// Limits a message to one datagram that is not fragmented.
inline constexpr std::size_t MaxReportedEndpoints = 80;

/// Largest age that a message can contain; greater ones are sent as this one.
inline constexpr milliseconds MaxReportedAge{65535};

}
