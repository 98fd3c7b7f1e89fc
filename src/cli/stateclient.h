#pragma once

#include "base/time.h"
#include "cli/command.h"

#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace Lentillock
{

/// Asks processes for their state over gRPC.
class StateClient
{
public:
    static std::vector<OptionSpec> options();

    static leaf::result<StateClient> create(const Arguments &arguments);

    /// State of a control process, or of an entry process if there is no control process at @p address. The error is CommandFailure.
    [[nodiscard]] leaf::result<boost::json::value> state(const std::string &address, const std::string &part) const;

private:
    explicit StateClient(milliseconds timeout);

    milliseconds timeout_;
};

}
