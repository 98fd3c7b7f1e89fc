#include "cli/arguments.h"

#include "cli/command.h"
#include "config/documentvalidator.h"

#include <charconv>
#include <utility>

namespace Lentillock
{

Arguments::Arguments(std::vector<std::string> positional, std::map<std::string, std::string> options)
    : positional_(std::move(positional))
    , options_(std::move(options))
{
}

const std::vector<std::string> &Arguments::positional() const
{
    return positional_;
}

leaf::result<void> Arguments::requireCount(std::size_t minimum, std::size_t maximum) const
{
    if (positional_.size() < minimum) {
        return leaf::new_error(UsageError{"an argument is missing"});
    }
    if (positional_.size() > maximum) {
        return leaf::new_error(UsageError{"unexpected argument \"" + positional_[maximum] + '"'});
    }
    return {};
}

bool Arguments::has(const std::string &option) const
{
    return options_.contains(option);
}

std::string Arguments::text(const std::string &option) const
{
    const auto found = options_.find(option);
    return found == options_.end() ? std::string() : found->second;
}

leaf::result<std::uint64_t> Arguments::number(const std::string &option, std::uint64_t minimum, std::uint64_t maximum) const
{
    const std::string value = text(option);
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (error != std::errc() || end != value.data() + value.size() || number < minimum || number > maximum) {
        return leaf::new_error(UsageError{"--" + option + " must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum)});
    }
    return number;
}

leaf::result<std::string> Arguments::section(std::size_t index) const
{
    const std::string &name = positional_.at(index);
    if (!DocumentValidator::isSection(name)) {
        return leaf::new_error(UsageError{'"' + name + "\" is not a section; the sections are workspaces, priorities, models, zones and endpoints"});
    }
    return name;
}

}
