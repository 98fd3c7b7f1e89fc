#include "gateway/viewfreshness.h"

#include <algorithm>

namespace Lentillock
{

namespace
{

/// Additional age at which the VM with the next rank reads. Longer than the time for a read and a report.
constexpr Duration ReadDelayPerRank = 100ms;

/// Limits the wait of the last ranks, so that the age of every view stays bounded when many VMs fail together.
constexpr std::size_t MaxRank = 4;

}

ViewFreshness::ViewFreshness(Duration primaryReadAge, Duration backupReadAge)
    : primaryReadAge_(primaryReadAge)
    , backupReadAge_(backupReadAge)
{
}

void ViewFreshness::recordRead(TimePoint now)
{
    readAt_ = now;
    confirmedAt_ = now;
    isOutdated_ = false;
}

void ViewFreshness::recordConfirmation(Duration age, TimePoint now)
{
    confirmedAt_ = std::max(confirmedAt_, now - age);
}

void ViewFreshness::markOutdated()
{
    isOutdated_ = true;
}

bool ViewFreshness::isReadDue(std::size_t rank, TimePoint now) const
{
    const Duration due = rank == 0 ? primaryReadAge_ : backupReadAge_ + ReadDelayPerRank * static_cast<int>(std::min(rank, MaxRank) - 1);
    return isOutdated_ || now - confirmedAt_ >= due;
}

milliseconds ViewFreshness::readAge(TimePoint now) const
{
    return std::chrono::duration_cast<milliseconds>(now - readAt_);
}

}
