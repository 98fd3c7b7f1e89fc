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
    /// @p expiresAt: when the reclaimer releases the allocation in any case.
    void add(ReleaseAllocation release, TimePoint expiresAt);

    /// The release to repeat, if @p answer grants an abandoned reservation.
    std::optional<ReleaseAllocation> takeRelease(const AllocationAnswered &answer);

    void removeExpired(TimePoint now);

    [[nodiscard]] std::size_t size() const;

private:
    struct Abandoned {
        ReleaseAllocation release;
        TimePoint expiresAt;
    };

    std::map<AllocationId, Abandoned> abandoned_;
};

}
