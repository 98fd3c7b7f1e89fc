#pragma once

#include "cli/command.h"

#include <memory>
#include <string>
#include <vector>

namespace Lentillock
{

/// Command line of the program lentillock: selects the command, parses its arguments and runs it.
class CommandLine
{
public:
    CommandLine();
    CommandLine(const CommandLine &) = delete;
    CommandLine &operator=(const CommandLine &) = delete;
    ~CommandLine();

    /// Returns the exit status. @p arguments does not include the program name.
    int run(const std::vector<std::string> &arguments, Streams streams) const;

    [[nodiscard]] const std::vector<std::unique_ptr<Command>> &commands() const;

    /// Help text of a command: synopsis, summary and options.
    static std::string help(const Command &command);
    static std::string synopsis(const Command &command);

    /// Options of the command, followed by those common to all commands.
    static std::vector<OptionSpec> allOptions(const Command &command);

private:
    [[nodiscard]] std::string overview() const;
    [[nodiscard]] const Command *findCommand(const std::string &name) const;
    static int runCommand(const Command &command, const std::vector<std::string> &arguments, Streams streams);

    std::vector<std::unique_ptr<Command>> commands_;
};

}
