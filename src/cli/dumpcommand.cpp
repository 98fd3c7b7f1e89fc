#include "cli/dumpcommand.h"

#include "cli/stateclient.h"
#include "cli/statetext.h"

#include <boost/json/serialize.hpp>

namespace Lentillock
{

std::string DumpCommand::name() const
{
    return "dump";
}

std::string DumpCommand::positional() const
{
    return "ADDRESS";
}

std::string DumpCommand::summary() const
{
    return "Prints the state of a control or entry process.";
}

std::vector<OptionSpec> DumpCommand::options() const
{
    std::vector<OptionSpec> options = StateClient::options();
    options.insert(options.begin(), {"part", "NAME", "part of the state, for example config or members; without it everything", ""});
    return options;
}

leaf::result<int> DumpCommand::run(const Arguments &arguments, Streams streams) const
{
    BOOST_LEAF_CHECK(arguments.requireCount(1, 1));
    BOOST_LEAF_AUTO(client, StateClient::create(arguments));
    const std::string part = arguments.text("part");
    BOOST_LEAF_AUTO(state, client.fetchState(arguments.positional()[0], part));
    if (state.is_null()) {
        return leaf::new_error(CommandFailure{"the process has no state named \"" + part + '"'});
    }
    if (arguments.has("json")) {
        streams.out << boost::json::serialize(state) << '\n';
    } else {
        streams.out << stateText(state);
    }
    return ExitSuccess;
}

}
