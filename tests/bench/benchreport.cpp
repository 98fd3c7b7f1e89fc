#include "bench/benchreport.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <iomanip>
#include <ostream>
#include <thread>

namespace Lentillock
{

namespace
{

void writeQuantiles(std::ostream &stream, const Quantiles &quantiles, int decimals)
{
    stream << std::fixed << std::setprecision(decimals) << std::setw(7) << quantiles.p50 << std::setw(8) << quantiles.p95 << std::setw(8) << quantiles.p99
           << " |";
}

boost::json::object toJson(const Quantiles &quantiles)
{
    return {{"p50", quantiles.p50}, {"p95", quantiles.p95}, {"p99", quantiles.p99}};
}

boost::json::object toJson(const ReportRow &row)
{
    constexpr std::array names{"under4k", "4k-32k", "32k-100k", "100k-1M"};
    const RunStatistics &statistics = row.statistics;
    boost::json::object firstToken;
    boost::json::object requests;
    for (std::size_t band = 0; band < LengthBands; ++band) {
        firstToken[names.at(band)] = toJson(statistics.firstToken.at(band));
        requests[names.at(band)] = statistics.requests.at(band);
    }
    return {{"profile", row.profile},
            {"situation", row.situation},
            {"policy", row.policy},
            {"requests", requests},
            {"firstTokenSeconds", firstToken},
            {"shortSlowdown", toJson(statistics.shortSlowdown)},
            {"goodputPerSecond", statistics.goodput},
            {"goodputTokensPerSecond", statistics.goodputTokens},
            {"fairness", statistics.fairness},
            {"late", statistics.late},
            {"refused", statistics.refused},
            {"failed", statistics.failed},
            {"busyShare", statistics.busyShare}};
}

}

void writeTable(std::ostream &stream, const std::vector<ReportRow> &rows)
{
    stream << "First token in seconds and slowdown of short requests, each as p50, p95, p99; goodput in requests/s and 1000 prompt tokens/s.\n";
    std::string heading;
    for (const ReportRow &row : rows) {
        if (heading != row.profile + ", " + row.situation) {
            heading = row.profile + ", " + row.situation;
            stream << '\n' << heading << '\n' << std::left << std::setw(28) << "policy" << std::right;
            for (const char *column : {"under 4k", "4k-32k", "32k-100k", "100k-1M", "slowdown"}) {
                stream << std::setw(23) << column << " |";
            }
            stream << "  good/s  ktok/s  Jain  late  refused failed busy\n";
        }
        stream << std::left << std::setw(28) << row.policy << std::right;
        for (const Quantiles &quantiles : row.statistics.firstToken) {
            writeQuantiles(stream, quantiles, 2);
        }
        writeQuantiles(stream, row.statistics.shortSlowdown, 2);
        const RunStatistics &statistics = row.statistics;
        stream << std::setw(8) << statistics.goodput << std::setw(8) << std::setprecision(0) << statistics.goodputTokens / 1000 << std::setprecision(2)
               << std::setw(6) << statistics.fairness << std::setw(6) << statistics.late << std::setw(8) << statistics.refused << std::setw(7)
               << statistics.failed << std::setw(6) << statistics.busyShare << '\n';
    }
}

void writeJson(std::ostream &stream, const std::vector<ReportRow> &rows, const std::string &command, std::uint64_t seed)
{
    stream << R"({"command":)" << boost::json::serialize(boost::json::string(command)) << R"(,"seed":)" << seed << R"(,"cores":)"
           << std::thread::hardware_concurrency() << ",\"rows\":[";
    for (std::size_t i = 0; i < rows.size(); ++i) {
        stream << (i == 0 ? "\n" : ",\n") << boost::json::serialize(toJson(rows[i]));
    }
    stream << "\n]}\n";
}

void writeData(std::ostream &stream, const std::vector<ReportRow> &rows)
{
    stream << "# profile situation policy p95_under4k p95_4k_32k p95_32k_100k p95_100k_1M p95_slowdown goodput fairness\n";
    for (const ReportRow &row : rows) {
        stream << '"' << row.profile << "\" \"" << row.situation << "\" \"" << row.policy << '"';
        for (const Quantiles &quantiles : row.statistics.firstToken) {
            stream << ' ' << quantiles.p95;
        }
        stream << ' ' << row.statistics.shortSlowdown.p95 << ' ' << row.statistics.goodput << ' ' << row.statistics.fairness << '\n';
    }
}

}
