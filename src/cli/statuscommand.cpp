#include "cli/statuscommand.h"

#include "cli/report.h"
#include "cli/stateclient.h"

#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <optional>

namespace Lentillock
{

namespace
{

/// Returns the nested member at @p path, or null.
const boost::json::value *findMember(const boost::json::value &state, std::initializer_list<std::string_view> path)
{
    const boost::json::value *value = &state;
    for (const std::string_view name : path) {
        const boost::json::object *object = value->if_object();
        value = object == nullptr ? nullptr : object->if_contains(name);
        if (value == nullptr) {
            return nullptr;
        }
    }
    return value;
}

std::string memberText(const boost::json::value &state, std::initializer_list<std::string_view> path)
{
    const boost::json::value *value = findMember(state, path);
    if (value == nullptr) {
        return "-";
    }
    return value->is_string() ? std::string(value->get_string()) : boost::json::serialize(*value);
}

/// Time since the configuration came into force, for example "12 s"; "-" if the process does not report it.
std::string inForceText(const boost::json::value &state)
{
    const boost::json::value *value = findMember(state, {"config", "inForceForMs"});
    boost::json::error_code error;
    const auto age = value == nullptr ? 0 : value->to_number<std::int64_t>(error);
    return value == nullptr || error ? "-" : std::to_string(age / 1000) + " s";
}

std::string condition(const boost::json::value &state)
{
    if (memberText(state, {"config", "stopped"}) == "true") {
        return "must be updated: the log has records of newer rules";
    }
    if (memberText(state, {"self", "leaving"}) == "true") {
        return "leaving";
    }
    return memberText(state, {"self", "ready"}) == "true" ? "ready" : "not ready";
}

struct ProcessStatus {
    std::string address;
    std::optional<boost::json::value> state;
    std::string problem; ///< Why there is no state.
};

ProcessStatus fetchStatus(const StateClient &client, const std::string &address)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<ProcessStatus> {
            BOOST_LEAF_AUTO(state, client.fetchState(address, ""));
            return ProcessStatus{address, state, {}};
        },
        [&](const CommandFailure &failure) {
            return ProcessStatus{address, {}, failure.message};
        },
        [&] {
            return ProcessStatus{address, {}, "failed for an unknown reason"};
        });
}

void writeStatusTable(const std::vector<ProcessStatus> &processes, std::ostream &stream)
{
    std::vector<std::vector<std::string>> rows{{"ADDRESS", "VM", "ZONE", "VERSION", "IN FORCE FOR", "RULES", "CONDITION"}};
    std::optional<std::string> previousVersion;
    bool versionsDiffer = false;
    for (const ProcessStatus &process : processes) {
        if (!process.state) {
            rows.push_back({process.address, "-", "-", "-", "-", "-", process.problem});
            continue;
        }
        const boost::json::value &state = *process.state;
        const std::string current = memberText(state, {"config", "version"});
        versionsDiffer = versionsDiffer || current != previousVersion.value_or(current);
        previousVersion = current;
        rows.push_back({process.address,
                        memberText(state, {"self", "vm"}),
                        memberText(state, {"self", "zone"}),
                        current,
                        inForceText(state),
                        memberText(state, {"config", "rulesVersion"}),
                        condition(state)});
    }
    writeTable(stream, rows);
    if (versionsDiffer) {
        stream << "the processes have different versions in force\n";
    }
}

}

std::string StatusCommand::name() const
{
    return "status";
}

std::string StatusCommand::positional() const
{
    return "ADDRESS...";
}

std::string StatusCommand::summary() const
{
    return "Shows which configuration is in force on each control process, and since when.";
}

std::vector<OptionSpec> StatusCommand::options() const
{
    return StateClient::options();
}

leaf::result<int> StatusCommand::run(const Arguments &arguments, Streams streams) const
{
    BOOST_LEAF_CHECK(arguments.requireCount(1, arguments.positional().size()));
    BOOST_LEAF_AUTO(client, StateClient::create(arguments));
    std::vector<ProcessStatus> processes;
    bool allAnswered = true;
    for (const std::string &address : arguments.positional()) {
        processes.push_back(fetchStatus(client, address));
        allAnswered = allAnswered && processes.back().state.has_value();
    }
    if (arguments.has("json")) {
        boost::json::array array;
        for (const ProcessStatus &process : processes) {
            boost::json::object object{{"address", process.address}};
            if (process.state) {
                for (const char *part : {"self", "config"}) {
                    const boost::json::value *value = findMember(*process.state, {part});
                    object[part] = value == nullptr ? boost::json::value() : *value;
                }
            } else {
                object["problem"] = process.problem;
            }
            array.push_back(std::move(object));
        }
        writeJson(streams.out, {{"processes", std::move(array)}});
    } else {
        writeStatusTable(processes, streams.out);
    }
    return allAnswered ? ExitSuccess : ExitFailure;
}

}
