#pragma once

#include "scenarios/scenario.h"

#include <string>

namespace Lentillock::Scenarios
{

/// Parses the lines of a scenario file. Throws std::runtime_error that names the line at fault.
Scenario parseScenario(const std::string &text);

}
