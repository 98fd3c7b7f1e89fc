#pragma once

#include "gateway/crashattributioncodec.h"
#include "gateway/loadexchange.h"

#include <optional>
#include <string_view>
#include <vector>

namespace Lentillock
{

/// Decides when a VM sends what it knows of crashes and blocked prompt parts, and to whom. Does no I/O.
///
/// A VM sends new evidence at once, to its group and to two VMs of each other group, which pass it on. The first VM of each group repeats all that is
/// known in the same way, so that it reaches VMs that have missed it, and those that have just started. Nothing is sent while nothing is known.
class CrashAttributionExchange
{
public:
    CrashAttributionExchange(CrashAttribution &attribution, const LoadExchange &fleet);

    /// Returns the datagrams that are due. To be called when nextDue() is reached and whenever evidence may have been recorded.
    std::vector<OutgoingDatagram> takeDue(TimePoint now);

    /// Time at which takeDue() has to be called even if nothing changes; TimePoint::max() if never.
    [[nodiscard]] TimePoint nextDue() const;

    /// Applies a received datagram. Returns std::nullopt if it is another message, otherwise the datagrams to be sent at once.
    std::optional<std::vector<OutgoingDatagram>> receive(std::string_view bytes, TimePoint now);

private:
    [[nodiscard]] std::vector<OutgoingDatagram> toFleet(TimePoint now);
    [[nodiscard]] Duration verdictsDelay() const;

    CrashAttribution &attribution_;
    const LoadExchange &fleet_;
    std::optional<TimePoint> sendDue_;
    bool isRepeat_ = false; ///< The next sending repeats the last one.
    std::optional<TimePoint> verdictsDue_; ///< When starts of suspected parts are sent, unless another VM has done so before.
    TimePoint refreshDue_ = TimePoint::max();
};

}
