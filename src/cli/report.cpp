#include "cli/report.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <ctime>

namespace Lentillock
{

boost::json::array findingsToJson(const Findings &findings)
{
    boost::json::array array;
    for (const Finding &finding : findings.items()) {
        array.push_back(boost::json::object{{"severity", finding.severity == Severity::Error ? "error" : "warning"},
                                            {"source", finding.source},
                                            {"pointer", finding.pointer},
                                            {"message", finding.message}});
    }
    return array;
}

std::string timeText(WallTime time)
{
    const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {text.data(), length};
}

std::string verdictName(ConfigVerdict verdict)
{
    constexpr std::array<const char *, 9> names{
        "accepted", "conflict", "invalid", "old-rules", "repeated", "malformed", "snapshot", "snapshot-mismatch", "not-judged"};
    return names.at(static_cast<std::size_t>(verdict));
}

std::string verdictReason(const ConfigDecision &decision)
{
    switch (decision.verdict) {
    case ConfigVerdict::Accepted:
        return "in force as version " + std::to_string(decision.offset);
    case ConfigVerdict::Conflict:
        return "was edited from version " + std::to_string(decision.record.base) + ", but the current version was " + std::to_string(decision.currentVersion);
    case ConfigVerdict::OldRules:
        return "was written by an older program than a record that has been accepted";
    case ConfigVerdict::Repeated:
        return "a record with the same id has been judged before";
    case ConfigVerdict::Snapshot:
        return "contains all records up to " + std::to_string(decision.snapshotThroughOffset);
    case ConfigVerdict::NotJudged:
        return "newer rules than this program knows";
    case ConfigVerdict::Invalid:
    case ConfigVerdict::Malformed:
    case ConfigVerdict::SnapshotMismatch:
        break;
    }
    const std::vector<Finding> &findings = decision.findings.items();
    const auto error = std::find_if(findings.begin(), findings.end(), [](const Finding &finding) { return finding.severity == Severity::Error; });
    const auto errors = std::count_if(findings.begin(), findings.end(), [](const Finding &finding) { return finding.severity == Severity::Error; });
    if (error == findings.end()) {
        return {};
    }
    std::string reason = error->source;
    reason.append("#").append(error->pointer).append(": ").append(error->message);
    if (errors > 1) {
        reason.append(" (and ").append(std::to_string(errors - 1)).append(" more)");
    }
    return reason;
}

void writeJson(std::ostream &stream, const boost::json::object &object)
{
    stream << boost::json::serialize(object) << '\n';
}

void writeTable(std::ostream &stream, const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const std::vector<std::string> &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    for (const std::vector<std::string> &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            const bool isLast = column + 1 == row.size();
            stream << row[column] << (isLast ? "" : std::string(widths[column] - row[column].size() + 2, ' '));
        }
        stream << '\n';
    }
}

}
