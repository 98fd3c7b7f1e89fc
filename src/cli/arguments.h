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

/// The arguments of a command after parsing.
class Arguments
{
public:
    /// @p options has the given values and the defaults; flags have the value "true" when given.
    Arguments(std::vector<std::string> positional, std::map<std::string, std::string> options);

    [[nodiscard]] const std::vector<std::string> &positional() const;

    /// Fails with UsageError unless the number of positional arguments is in the range.
    [[nodiscard]] leaf::result<void> requireCount(std::size_t minimum, std::size_t maximum) const;

    [[nodiscard]] bool has(const std::string &option) const;

    /// Empty when the option was not given and has no default.
    [[nodiscard]] std::string text(const std::string &option) const;

    /// Fails with UsageError when the value is not a whole number in the range.
    [[nodiscard]] leaf::result<std::uint64_t> number(const std::string &option, std::uint64_t minimum, std::uint64_t maximum) const;

    /// A positional argument that must be a section name.
    [[nodiscard]] leaf::result<std::string> section(std::size_t index) const;

private:
    std::vector<std::string> positional_;
    std::map<std::string, std::string> options_;
};

}
