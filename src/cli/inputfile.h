#pragma once

#include "cli/command.h"

#include <string>

namespace Lentillock
{

/// Reads a whole file, or standard input if @p path is "-". The error object is CommandFailure.
leaf::result<std::string> readInputFile(const std::string &path);

}
