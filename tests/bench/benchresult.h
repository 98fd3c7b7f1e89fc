#pragma once

#include "base/time.h"
#include "bench/workload.h"

#include <optional>

namespace Lentillock
{

enum class BenchOutcome {
    Finished,
    Late, ///< The deadline passed first.
    Refused, ///< Not run, at once, with a time after which to try again.
    Failed,
};

struct BenchResult {
    std::string id;
    std::size_t workspace = 0;
    LengthBand band = LengthBand::Under4k;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxTokens = 0;
    bool deskModel = false;
    TimePoint arrival;
    BenchOutcome outcome = BenchOutcome::Failed;
    std::optional<Duration> firstToken;
    Duration total = Duration::zero();
};

}
