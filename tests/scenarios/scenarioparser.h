#pragma once

#include "scenarios/scenario.h"

#include <string>

namespace Lentillock::Scenarios
{

/// Parses the text of a scenario file. Throws std::runtime_error with the line number and the text of the first invalid line.
Scenario parseScenario(const std::string &text);

}
