#pragma once

#include "cli/command.h"

#include <string>

namespace Lentillock
{

/// Reads a whole file; "-" stands for standard input. The error is CommandFailure.
leaf::result<std::string> readInputFile(const std::string &path);

}
