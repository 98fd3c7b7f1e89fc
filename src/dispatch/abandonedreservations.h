#pragma once

#include "dispatch/messages.h"

#include <cstddef>
#include <map>
#include <optional>

namespace Lentillock
{

/// Reservations that were released before they were answered. The release can reach the endpoint before the reservation does,
/// so a reservation that is granted late is released again.
class AbandonedReservations
{
public:
    /// @p expiresAt is the time after which the reclaimer releases the allocation anyway.
    void add(ReleaseAllocation release, TimePoint expiresAt);

    /// Removes the reservation that @p answer refers to. Returns its release, which must be repeated, if the reservation was granted.
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
