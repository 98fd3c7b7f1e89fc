#pragma once

#include "cli/command.h"

namespace Lentillock
{

/// Lists the retained log records with the decision on each.
class HistoryCommand : public Command
{
public:
    [[nodiscard]] std::string name() const override;
    [[nodiscard]] std::string positional() const override;
    [[nodiscard]] std::string summary() const override;
    [[nodiscard]] std::vector<OptionSpec> options() const override;
    leaf::result<int> run(const Arguments &arguments, Streams streams) const override;
};

}
