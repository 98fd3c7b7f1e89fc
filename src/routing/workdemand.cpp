#include "routing/workdemand.h"

#include <cmath>
#include <numeric>

namespace Lentillock
{

void WorkDemand::add(TimePoint now, WorkClass workClass, double engineSeconds)
{
    const double decay = std::exp2(-std::chrono::duration<double>(now - updatedAt_) / std::chrono::duration<double>(HalfLife));
    for (double &work : work_) {
        work *= decay;
    }
    updatedAt_ = now;
    work_.at(static_cast<std::size_t>(workClass)) += engineSeconds;
}

double WorkDemand::share(WorkClass workClass) const
{
    const double sum = std::accumulate(work_.begin(), work_.end(), 0.0);
    return sum <= 0 ? 1.0 / WorkClassCount : work_.at(static_cast<std::size_t>(workClass)) / sum;
}

}
