#pragma once

#include "base/time.h"
#include "routing/workclass.h"

#include <array>

namespace Lentillock
{

/// Estimates the share of each work class in the arriving work. The weight of an arrival decays exponentially with its age.
class WorkDemand
{
public:
    void add(TimePoint now, WorkClass workClass, double engineSeconds);

    /// Returns the share of the class in all work, from 0 to 1. Before the first arrival all shares are equal.
    [[nodiscard]] double share(WorkClass workClass) const;

private:
    /// With 60 s, single long prompts made the shares, and with them the endpoint partitions, of different entries differ by a factor of 2.
    static constexpr Duration HalfLife = 300s;

    std::array<double, WorkClassCount> work_{};
    TimePoint updatedAt_;
};

}
