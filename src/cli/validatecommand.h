#pragma once

#include "cli/command.h"

namespace Lentillock
{

/// Validates a section or a whole document.
class ValidateCommand : public Command
{
public:
    [[nodiscard]] std::string name() const override;
    [[nodiscard]] std::string positional() const override;
    [[nodiscard]] std::string summary() const override;
    [[nodiscard]] std::vector<OptionSpec> options() const override;
    leaf::result<int> run(const Arguments &arguments, Streams streams) const override;
};

}
