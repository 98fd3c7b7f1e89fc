#pragma once

#include <string>

namespace Lentillock
{

/// The command line of lentillock-entry.
class EntryCommand
{
public:
    /// Returns the exit status: 0 success, 1 invalid settings, 2 usage error, 3 runtime failure.
    int run(int argc, char **argv);

    /// The output of --help.
    [[nodiscard]] static std::string helpText();
};

}
