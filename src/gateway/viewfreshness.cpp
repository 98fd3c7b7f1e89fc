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

/// Additional time that the VM with @p rank waits, for ranks from 1.
Duration backupDelay(std::size_t rank)
{
    return ReadDelayPerRank * static_cast<int>(std::min(rank, MaxRank) - 1);
}

}

ViewFreshness::ViewFreshness(Duration primaryReadAge, Duration backupReadAge, Duration updateWait)
    : primaryReadAge_(primaryReadAge)
    , backupReadAge_(backupReadAge)
    , updateWait_(updateWait)
{
}

void ViewFreshness::recordRead(TimePoint now)
{
    readAt_ = now;
    confirmedAt_ = now;
    outdatedSince_.reset();
}

void ViewFreshness::recordConfirmation(Duration age, TimePoint now)
{
    confirmedAt_ = std::max(confirmedAt_, now - age);
}

void ViewFreshness::markOutdated(TimePoint now)
{
    outdatedSince_ = outdatedSince_.value_or(now);
}

void ViewFreshness::recordUpdate(TimePoint now)
{
    confirmedAt_ = now;
    outdatedSince_.reset();
}

bool ViewFreshness::isReadDue(const ReaderRank &rank, TimePoint now) const
{
    if (outdatedSince_) {
        const bool waitsForUpdate = updateWait_ > Duration::zero() && rank.inGroup > 0;
        return !waitsForUpdate || now - *outdatedSince_ >= updateWait_ + backupDelay(rank.inGroup);
    }
    return now - confirmedAt_ >= (rank.inFleet == 0 ? primaryReadAge_ : backupReadAge_ + backupDelay(rank.inFleet));
}

milliseconds ViewFreshness::readAge(TimePoint now) const
{
    return std::chrono::duration_cast<milliseconds>(now - readAt_);
}

}
