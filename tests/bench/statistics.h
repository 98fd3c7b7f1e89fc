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

/// Metrics of one simulation run.
struct RunStatistics {
    std::array<std::size_t, LengthBands> requests{};
    std::array<Quantiles, LengthBands> firstToken{}; ///< In seconds. A request without a first token counts with its total time.
    Quantiles shortSlowdown;
    double goodput = 0; ///< Requests per second that finished before their deadline.
    double goodputTokens = 0; ///< Prompt tokens per second of these requests.
    double fairness = 0; ///< Jain's fairness index over the workspaces' fractions of prompt tokens answered in time.
    std::size_t late = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
    double busyShare = 0;
};

Quantiles quantilesOf(std::vector<double> values);
double jainIndex(const std::vector<double> &values);

/// Computes the metrics of a run. Refused requests are excluded from the first-token and slowdown quantiles.
RunStatistics statisticsOf(const SituationResult &result);

}
