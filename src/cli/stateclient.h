#pragma once

#include "base/time.h"
#include "cli/command.h"

#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace Lentillock
{

/// Requests the state of control and entry processes over gRPC.
class StateClient
{
public:
    static std::vector<OptionSpec> options();

    static leaf::result<StateClient> create(const Arguments &arguments);

    /// Returns the state, or the given part of it, of the control or entry process at @p address. An empty @p part requests everything. The
    /// error object is CommandFailure.
    [[nodiscard]] leaf::result<boost::json::value> fetchState(const std::string &address, const std::string &part) const;

private:
    explicit StateClient(milliseconds timeout);

    milliseconds timeout_;
};

}
