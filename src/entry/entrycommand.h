#pragma once

#include <string>

namespace Lentillock
{

/// The command line of lentillock-entry.
class EntryCommand
{
public:
    /// Returns the exit status: 0 success, 1 errors in the settings, 2 wrong usage, 3 failure at run time.
    int run(int argc, char **argv);

    /// The text of --help.
    [[nodiscard]] static std::string helpText();
};

}
