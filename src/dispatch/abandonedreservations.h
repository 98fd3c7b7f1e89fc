#pragma once

#include "dispatch/messages.h"

#include <cstddef>
#include <map>
#include <optional>

namespace Lentillock
{

/// Reservations that were released before they were answered. The release may have overtaken the reservation on its way,
/// so a late grant is released again.
class AbandonedReservations
{
public:
    /// @p forgetAt: when the reclaimer releases the allocation in any case.
    void add(ReleaseAllocation release, TimePoint forgetAt);

    /// The release to repeat, if @p answer grants an abandoned reservation.
    std::optional<ReleaseAllocation> answered(const AllocationAnswered &answer);

    void forgetExpired(TimePoint now);

    [[nodiscard]] std::size_t size() const;

private:
    struct Abandoned {
        ReleaseAllocation release;
        TimePoint forgetAt;
    };

    std::map<AllocationId, Abandoned> abandoned_;
};

}
