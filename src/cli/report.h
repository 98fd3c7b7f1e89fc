#pragma once

#include "base/findings.h"
#include "base/time.h"
#include "cli/command.h"
#include "config/configstatemachine.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <string>
#include <vector>

namespace Lentillock
{

/// Converts findings to the form used in JSON output.
boost::json::array findingsToJson(const Findings &findings);

/// Formats a time in UTC, for example "2026-12-04T08:15:25Z".
std::string timeText(WallTime time);

/// Name of a verdict in text and JSON output.
std::string verdictName(ConfigVerdict verdict);

/// Human-readable reason why a record was accepted or rejected; empty if there is none.
std::string verdictReason(const ConfigDecision &decision);

/// Writes @p object as a single line of JSON.
void writeJson(std::ostream &stream, const boost::json::object &object);

/// Writes rows as a table with aligned columns. The first row holds the column headings.
void writeTable(std::ostream &stream, const std::vector<std::vector<std::string>> &rows);

}
