#include "dispatch/abandonedreservations.h"

#include <utility>

namespace Lentillock
{

void AbandonedReservations::add(ReleaseAllocation release, TimePoint expiresAt)
{
    const AllocationId allocation = release.allocation;
    abandoned_[allocation] = {std::move(release), expiresAt};
}

std::optional<ReleaseAllocation> AbandonedReservations::takeRelease(const AllocationAnswered &answer)
{
    const auto found = abandoned_.find(answer.allocation);
    if (found == abandoned_.end()) {
        return std::nullopt;
    }
    const ReleaseAllocation release = std::move(found->second.release);
    abandoned_.erase(found);
    return answer.granted ? std::optional(release) : std::nullopt;
}

void AbandonedReservations::removeExpired(TimePoint now)
{
    std::erase_if(abandoned_, [now](const auto &item) { return item.second.expiresAt <= now; });
}

std::size_t AbandonedReservations::size() const
{
    return abandoned_.size();
}

}
