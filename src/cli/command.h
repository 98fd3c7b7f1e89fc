#pragma once

#include "cli/arguments.h"

#include <boost/leaf/result.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace Lentillock
{

namespace leaf = boost::leaf;

/// Exit statuses of all programs.
enum ExitStatus : int {
    ExitSuccess = 0,
    ExitInputError = 1, ///< The input is invalid.
    ExitUsageError = 2, ///< Invalid command line arguments.
    ExitFailure = 3, ///< Runtime failure, for example an unavailable service.
};

/// Error object: the command line arguments are invalid.
struct UsageError {
    std::string message;
};

/// Error object: the command failed, for example because a service did not respond.
struct CommandFailure {
    std::string message;
};

/// Output streams of a command: results go to @c out, diagnostics to @c err.
struct Streams {
    std::ostream &out;
    std::ostream &err;
};

struct OptionSpec {
    std::string name; ///< Without the leading dashes.
    std::string argument; ///< Placeholder of the option's argument in the help; empty for a flag.
    std::string description; ///< Help text, including the unit.
    std::string defaultValue; ///< Empty if there is none.
};

/// Base class of the commands of the program lentillock.
class Command
{
public:
    Command() = default;
    Command(const Command &) = delete;
    Command &operator=(const Command &) = delete;
    virtual ~Command() = default;

    [[nodiscard]] virtual std::string name() const = 0;

    /// Positional arguments as shown in the synopsis.
    [[nodiscard]] virtual std::string positional() const = 0;

    /// One-sentence description.
    [[nodiscard]] virtual std::string summary() const = 0;

    [[nodiscard]] virtual std::vector<OptionSpec> options() const = 0;

    /// Returns the exit status. The error object is UsageError or CommandFailure.
    virtual leaf::result<int> run(const Arguments &arguments, Streams streams) const = 0;
};

}
