#pragma once

#include "base/time.h"
#include "routing/workclass.h"

#include <array>

namespace Lentillock
{

/// How the work that arrives divides over the classes. Old arrivals count for less.
class WorkDemand
{
public:
    void add(TimePoint now, WorkClass workClass, double engineSeconds);

    /// Share of the class in all work, from 0 to 1. Equal shares before the first arrival.
    [[nodiscard]] double share(WorkClass workClass) const;

private:
    /// With 60 s, single long prompts made the entries' shares differ by a factor of 2, and so their divisions of the endpoints.
    static constexpr Duration HalfLife = 300s;

    std::array<double, WorkClasses> work_{};
    TimePoint updatedAt_;
};

}
