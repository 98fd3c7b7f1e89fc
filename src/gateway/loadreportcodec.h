#pragma once

#include "base/identifier.h"
#include "gateway/fleetload.h"
#include "gateway/viewfreshness.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lentillock
{

/// A load report of one VM as it travels between VMs.
struct LoadReportMessage {
    VmId vm;
    std::uint32_t sequence = 0; ///< Rises with each report of one process; later reports replace earlier ones.
    ViewReport view{};
    double shortDemand = 0; ///< Short requests that generate at the same time at the current rate of arrivals.
    std::vector<EndpointLoadReport> loads{};

    auto operator<=>(const LoadReportMessage &) const = default;
};

/// Encodes @p message in one datagram. Numbers are rounded and saturate; entries beyond MaxReportedEndpoints are left out.
std::string encodeLoadReport(const LoadReportMessage &message);

/// Nothing if @p bytes are not a report of a known version.
std::optional<LoadReportMessage> decodeLoadReport(std::string_view bytes);

/// Keeps a report within one datagram that is not fragmented.
inline constexpr std::size_t MaxReportedEndpoints = 100;

}
