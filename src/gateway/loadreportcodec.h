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

/// A load report that one VM sends to the others.
struct LoadReportMessage {
    VmId vm;
    std::uint32_t sequence = 0; ///< Increases with each report of a process; a later report replaces earlier ones.
    ViewReport view{};
    double shortDemand = 0; ///< Expected number of concurrently generating short requests at the current arrival rate.
    std::vector<EndpointLoadReport> loads{};

    auto operator<=>(const LoadReportMessage &) const = default;
};

/// Encodes @p message as one datagram. Numbers are rounded and saturated; entries beyond MaxReportedEndpoints are omitted.
std::string encodeLoadReport(const LoadReportMessage &message);

/// Decodes a load report. Returns std::nullopt if @p bytes is not a report of the supported version.
std::optional<LoadReportMessage> decodeLoadReport(std::string_view bytes);

/// Limits a report to one datagram that is not fragmented.
inline constexpr std::size_t MaxReportedEndpoints = 100;

}
