#pragma once

#include "base/time.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Lentillock
{

namespace leaf = boost::leaf;

/// The parsed arguments of a command.
class Arguments
{
public:
    /// @p options holds the option values by name, including defaults; the value of a flag that was given is "true".
    Arguments(std::vector<std::string> positional, std::map<std::string, std::string> options);

    [[nodiscard]] const std::vector<std::string> &positional() const;

    /// Fails with UsageError if the number of positional arguments is out of range.
    [[nodiscard]] leaf::result<void> requireCount(std::size_t minimum, std::size_t maximum) const;

    [[nodiscard]] bool has(const std::string &option) const;

    /// Value of an option; empty if it was not given and has no default.
    [[nodiscard]] std::string text(const std::string &option) const;

    /// Value of a numeric option. Fails with UsageError if it is not an integer in the range.
    [[nodiscard]] leaf::result<std::uint64_t> number(const std::string &option, std::uint64_t minimum, std::uint64_t maximum) const;

    /// Positional argument @p index. Fails with UsageError if it is not a section name.
    [[nodiscard]] leaf::result<std::string> section(std::size_t index) const;

private:
    std::vector<std::string> positional_;
    std::map<std::string, std::string> options_;
};

}
