#pragma once

#include "base/time.h"
#include "bench/workload.h"

#include <optional>

namespace Lentillock
{

enum class BenchOutcome {
    Finished,
    Late, ///< The deadline passed before the request finished.
    Refused, ///< Rejected on arrival without being run; the caller is told when to retry.
    Failed,
};

struct BenchResult {
    std::string id;
    std::size_t workspace = 0;
    LengthBand band = LengthBand::Under4k;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxTokens = 0;
    bool smallModel = false;
    TimePoint arrival;
    BenchOutcome outcome = BenchOutcome::Failed;
    std::optional<Duration> firstToken;
    Duration total = Duration::zero();
};

}
