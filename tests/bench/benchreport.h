#pragma once

#include "bench/statistics.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace Lentillock
{

struct ReportRow {
    std::string profile;
    std::string situation;
    std::string policy;
    RunStatistics statistics;
};

/// Writes a human-readable table.
void writeTable(std::ostream &stream, const std::vector<ReportRow> &rows);
/// Writes one JSON object with the command, the seed, the number of cores and all rows.
void writeJson(std::ostream &stream, const std::vector<ReportRow> &rows, const std::string &command, std::uint64_t seed);
/// Writes whitespace-separated columns for gnuplot: profile, situation, policy, p95 first token per band, p95 slowdown, goodput, fairness.
void writeData(std::ostream &stream, const std::vector<ReportRow> &rows);

}
