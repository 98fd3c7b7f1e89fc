#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace Lentillock
{

/// Returns the output of `lentillock-control --help`.
std::string controlHelpText();

/// Runs lentillock-control with the command line @p arguments, without the program name. Returns the exit status.
int runControl(const std::vector<std::string> &arguments, std::ostream &output, std::ostream &errors);

}
