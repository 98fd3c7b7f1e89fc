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

/// Findings as JSON for programs.
boost::json::array findingsToJson(const Findings &findings);

/// "2026-12-04T08:15:25Z".
std::string timeText(WallTime time);

/// Word for a verdict, as used in all output.
std::string verdictName(ConfigVerdict verdict);

/// One sentence that tells people why a record was accepted or refused.
std::string verdictReason(const ConfigDecision &decision);

/// Writes one line of JSON.
void writeJson(std::ostream &stream, const boost::json::object &object);

/// Writes rows in columns; the first row is the heading.
void writeTable(std::ostream &stream, const std::vector<std::vector<std::string>> &rows);

}
