#include "gateway/reportorder.h"

#include <algorithm>

namespace Lentillock
{

namespace
{

/// A report cannot be delayed for so long that its VM restarts more often than this meanwhile.
constexpr std::size_t MaxEarlierIncarnations = 4;

}

bool ReportOrder::accept(const ReportNumber &number)
{
    const bool isSameProcess = hasReport_ && number.incarnation == last_.incarnation;
    if (isSameProcess && number.sequence <= last_.sequence) {
        return false;
    }
    if (std::find(earlierIncarnations_.begin(), earlierIncarnations_.end(), number.incarnation) != earlierIncarnations_.end()) {
        return false;
    }
    if (hasReport_ && !isSameProcess) {
        earlierIncarnations_.push_back(last_.incarnation);
        if (earlierIncarnations_.size() > MaxEarlierIncarnations) {
            earlierIncarnations_.pop_front();
        }
    }
    isNewIncarnation_ = !isSameProcess;
    hasReport_ = true;
    last_ = number;
    return true;
}

bool ReportOrder::isNewIncarnation() const
{
    return isNewIncarnation_;
}

}
