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
    ExitInputError = 1, ///< Errors in the input.
    ExitUsageError = 2, ///< Wrong usage.
    ExitFailure = 3, ///< Failure at run time.
};

/// Error object of a command that was used wrongly.
struct UsageError {
    std::string message;
};

/// Error object of a command that could not be carried out, for example because a service does not answer.
struct CommandFailure {
    std::string message;
};

/// Where a command writes: results to @c out, problems to @c err.
struct Streams {
    std::ostream &out;
    std::ostream &err;
};

struct OptionSpec {
    std::string name; ///< Without the leading dashes.
    std::string argument; ///< Name of its argument; empty for a flag.
    std::string description; ///< With the unit.
    std::string defaultValue; ///< As shown to people; empty when there is none.
};

/// One command of the program lentillock.
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

    /// One sentence.
    [[nodiscard]] virtual std::string summary() const = 0;

    [[nodiscard]] virtual std::vector<OptionSpec> options() const = 0;

    /// Returns the exit status. Errors are UsageError and CommandFailure.
    virtual leaf::result<int> run(const Arguments &arguments, Streams streams) const = 0;
};

}
