#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace Lentillock
{

/// Text of `lentillock-control --help`.
std::string controlHelpText();

/// Runs lentillock-control with the arguments after the program name. Returns the exit status.
int runControl(const std::vector<std::string> &arguments, std::ostream &output, std::ostream &errors);

}
