#pragma once

#include "cli/command.h"

namespace Lentillock
{

/// Shows the configuration version and readiness of control processes.
class StatusCommand : public Command
{
public:
    [[nodiscard]] std::string name() const override;
    [[nodiscard]] std::string positional() const override;
    [[nodiscard]] std::string summary() const override;
    [[nodiscard]] std::vector<OptionSpec> options() const override;
    leaf::result<int> run(const Arguments &arguments, Streams streams) const override;
};

}
