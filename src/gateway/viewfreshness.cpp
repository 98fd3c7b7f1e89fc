#include "gateway/viewfreshness.h"

#include <algorithm>

namespace Lentillock
{

namespace
{

/// Further age at which the VM with the next rank reads. Longer than a read and a report take.
constexpr Duration RankStep = 100ms;

/// Bounds the wait of the last ranks, so that the age of what any VM knows stays bounded when many VMs die together.
constexpr std::size_t MaxRank = 4;

}

ViewFreshness::ViewFreshness(Duration readerAge, Duration othersAge)
    : readerAge_(readerAge)
    , othersAge_(othersAge)
{
}

void ViewFreshness::recordRead(TimePoint now)
{
    readAt_ = now;
    confirmedAt_ = now;
    behind_ = false;
}

void ViewFreshness::recordConfirmation(Duration age, TimePoint now)
{
    confirmedAt_ = std::max(confirmedAt_, now - age);
}

void ViewFreshness::markOutdated()
{
    behind_ = true;
}

bool ViewFreshness::isReadDue(std::size_t rank, TimePoint now) const
{
    const Duration due = rank == 0 ? readerAge_ : othersAge_ + RankStep * static_cast<int>(std::min(rank, MaxRank) - 1);
    return behind_ || now - confirmedAt_ >= due;
}

milliseconds ViewFreshness::readAge(TimePoint now) const
{
    return std::chrono::duration_cast<milliseconds>(now - readAt_);
}

}
