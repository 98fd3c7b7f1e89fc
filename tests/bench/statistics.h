#pragma once

#include "bench/situation.h"

#include <array>
#include <vector>

namespace Lentillock
{

struct Quantiles {
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

/// The measures of one run.
struct RunStatistics {
    std::array<std::size_t, LengthBands> requests{};
    std::array<Quantiles, LengthBands> firstToken{}; ///< Seconds. A request without a first token counts with the time until it ended.
    Quantiles shortSlowdown;
    double goodput = 0; ///< Requests per second that finished within their deadline.
    double goodputTokens = 0; ///< Their prompt tokens per second.
    double fairness = 0; ///< Jain's index over workspaces of the share of prompt tokens that was answered in time.
    std::size_t late = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
    double busyShare = 0;
};

Quantiles quantilesOf(std::vector<double> values);
double jainIndex(const std::vector<double> &values);

/// Requests that were refused count neither for first token nor for slowdown.
RunStatistics statisticsOf(const SituationResult &result);

}
