#include "dispatch/abandonedreservations.h"

#include <utility>

namespace Lentillock
{

void AbandonedReservations::add(ReleaseAllocation release, TimePoint forgetAt)
{
    const AllocationId allocation = release.allocation;
    abandoned_[allocation] = {std::move(release), forgetAt};
}

std::optional<ReleaseAllocation> AbandonedReservations::answered(const AllocationAnswered &answer)
{
    const auto found = abandoned_.find(answer.allocation);
    if (found == abandoned_.end()) {
        return std::nullopt;
    }
    const ReleaseAllocation release = std::move(found->second.release);
    abandoned_.erase(found);
    return answer.granted ? std::optional(release) : std::nullopt;
}

void AbandonedReservations::forgetExpired(TimePoint now)
{
    std::erase_if(abandoned_, [now](const auto &item) { return item.second.forgetAt <= now; });
}

std::size_t AbandonedReservations::size() const
{
    return abandoned_.size();
}

}
