#pragma once

#include "cli/command.h"

#include <memory>
#include <string>
#include <vector>

namespace Lentillock
{

/// The program lentillock: finds the command, parses its arguments and runs it.
class CommandLine
{
public:
    CommandLine();
    CommandLine(const CommandLine &) = delete;
    CommandLine &operator=(const CommandLine &) = delete;
    ~CommandLine();

    /// Returns the exit status. @p arguments do not contain the program's name.
    int run(const std::vector<std::string> &arguments, Streams streams) const;

    [[nodiscard]] const std::vector<std::unique_ptr<Command>> &commands() const;

    /// Synopsis, summary and options of a command.
    static std::string help(const Command &command);
    static std::string synopsis(const Command &command);

    /// Options of the command and those that all commands have.
    static std::vector<OptionSpec> allOptions(const Command &command);

private:
    [[nodiscard]] std::string overview() const;
    [[nodiscard]] const Command *find(const std::string &name) const;
    static int runCommand(const Command &command, const std::vector<std::string> &arguments, Streams streams);

    std::vector<std::unique_ptr<Command>> commands_;
};

}
