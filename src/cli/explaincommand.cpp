#include "cli/explaincommand.h"

#include "cli/report.h"
#include "cli/stateclient.h"
#include "cli/statetext.h"

#include <boost/leaf/handle_errors.hpp>

#include <optional>

namespace Lentillock
{

std::string ExplainCommand::name() const
{
    return "explain";
}

std::string ExplainCommand::positional() const
{
    return "REQUEST ADDRESS...";
}

std::string ExplainCommand::summary() const
{
    return "Asks the entry processes at the addresses what they know of a request.";
}

std::vector<OptionSpec> ExplainCommand::options() const
{
    return StateClient::options();
}

leaf::result<int> ExplainCommand::run(const Arguments &arguments, Streams streams) const
{
    BOOST_LEAF_CHECK(arguments.requireCount(2, arguments.positional().size()));
    BOOST_LEAF_AUTO(client, StateClient::create(arguments));
    const std::string &request = arguments.positional().front();
    boost::json::array found;
    std::vector<std::string> problems;
    for (auto address = arguments.positional().begin() + 1; address != arguments.positional().end(); ++address) {
        const std::optional<boost::json::value> state = leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<boost::json::value>> {
                BOOST_LEAF_AUTO(value, client.fetchState(*address, "request/" + request));
                return value.is_null() ? std::nullopt : std::optional(value);
            },
            [&](const CommandFailure &failure) {
                problems.push_back(failure.message);
                return std::optional<boost::json::value>();
            },
            [&] { return std::optional<boost::json::value>(); });
        if (state) {
            found.push_back(boost::json::object{{"address", *address}, {"request", *state}});
        }
    }
    if (arguments.has("json")) {
        boost::json::array problemTexts(problems.begin(), problems.end());
        writeJson(streams.out, {{"found", found}, {"problems", std::move(problemTexts)}});
    } else {
        for (const boost::json::value &entry : found) {
            streams.out << "request " << request << " at " << entry.at("address").get_string().c_str() << '\n' << stateText(entry.at("request"));
        }
        for (const std::string &problem : problems) {
            streams.err << problem << '\n';
        }
    }
    if (!found.empty()) {
        return ExitSuccess;
    }
    const std::string suffix = problems.empty() ? "" : "; not all processes answered";
    return leaf::new_error(CommandFailure{"no entry process has a state for request \"" + request + '"' + suffix});
}

}
