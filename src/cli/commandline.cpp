#include "cli/commandline.h"

#include "cli/diffcommand.h"
#include "cli/dumpcommand.h"
#include "cli/explaincommand.h"
#include "cli/historycommand.h"
#include "cli/publishcommand.h"
#include "cli/showcommand.h"
#include "cli/statuscommand.h"
#include "cli/validatecommand.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options.hpp>

#include <algorithm>
#include <map>

namespace Lentillock
{

namespace
{

namespace options = boost::program_options;

constexpr std::size_t DescriptionColumn = 26;

std::string padRight(std::string text, std::size_t width)
{
    text.resize(std::max(text.size() + 1, width), ' ');
    return text;
}

leaf::result<Arguments> parse(const Command &command, const std::vector<std::string> &arguments)
{
    options::options_description visible;
    std::map<std::string, std::string> values;
    for (const OptionSpec &option : CommandLine::allOptions(command)) {
        if (option.argument.empty()) {
            visible.add_options()(option.name.c_str(), option.description.c_str());
            continue;
        }
        visible.add_options()(option.name.c_str(), options::value<std::string>(), option.description.c_str());
        if (!option.defaultValue.empty()) {
            values[option.name] = option.defaultValue;
        }
    }
    options::options_description all;
    all.add(visible).add_options()("positional", options::value<std::vector<std::string>>());
    options::positional_options_description positional;
    positional.add("positional", -1);
    try {
        const auto style = options::command_line_style::unix_style & ~options::command_line_style::allow_guessing;
        const options::parsed_options parsed = options::command_line_parser(arguments).options(all).positional(positional).style(style).run();
        std::vector<std::string> positionalArguments;
        for (const options::option &option : parsed.options) {
            if (option.string_key == "positional") {
                positionalArguments.insert(positionalArguments.end(), option.value.begin(), option.value.end());
            } else {
                values[option.string_key] = option.value.empty() ? "true" : option.value.front();
            }
        }
        return Arguments(std::move(positionalArguments), std::move(values));
    } catch (const options::error &error) {
        return leaf::new_error(UsageError{error.what()});
    }
}

}

CommandLine::CommandLine()
{
    commands_.push_back(std::make_unique<ValidateCommand>());
    commands_.push_back(std::make_unique<DiffCommand>());
    commands_.push_back(std::make_unique<PublishCommand>());
    commands_.push_back(std::make_unique<ShowCommand>());
    commands_.push_back(std::make_unique<HistoryCommand>());
    commands_.push_back(std::make_unique<StatusCommand>());
    commands_.push_back(std::make_unique<DumpCommand>());
    commands_.push_back(std::make_unique<ExplainCommand>());
}

CommandLine::~CommandLine() = default;

const std::vector<std::unique_ptr<Command>> &CommandLine::commands() const
{
    return commands_;
}

int CommandLine::run(const std::vector<std::string> &arguments, Streams streams) const
{
    if (arguments.empty() || arguments.front().starts_with("--")) {
        if (!arguments.empty() && arguments.front() == "--version") {
            streams.out << "lentillock " << LENTILLOCK_VERSION << '\n';
            return ExitSuccess;
        }
        if (!arguments.empty() && arguments.front() == "--help") {
            streams.out << overview();
            return ExitSuccess;
        }
        streams.err << overview();
        return ExitUsageError;
    }
    const Command *command = findCommand(arguments.front());
    if (command == nullptr) {
        streams.err << "lentillock: \"" << arguments.front() << "\" is not a command; see lentillock --help\n";
        return ExitUsageError;
    }
    const std::vector<std::string> commandArguments(arguments.begin() + 1, arguments.end());
    return runCommand(*command, commandArguments, streams);
}

int CommandLine::runCommand(const Command &command, const std::vector<std::string> &arguments, Streams streams)
{
    const std::string prefix = "lentillock " + command.name() + ": ";
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
            BOOST_LEAF_AUTO(parsed, parse(command, arguments));
            if (parsed.has("help")) {
                streams.out << help(command);
                return ExitSuccess;
            }
            return command.run(parsed, streams);
        },
        [&](const UsageError &error) {
            streams.err << prefix << error.message << "\nusage: " << synopsis(command) << '\n';
            return static_cast<int>(ExitUsageError);
        },
        [&](const CommandFailure &failure) {
            streams.err << prefix << failure.message << '\n';
            return static_cast<int>(ExitFailure);
        },
        [&] {
            streams.err << prefix << "failed for an unknown reason\n";
            return static_cast<int>(ExitFailure);
        });
}

const Command *CommandLine::findCommand(const std::string &name) const
{
    const auto found = std::find_if(commands_.begin(), commands_.end(), [&](const auto &command) { return command->name() == name; });
    return found == commands_.end() ? nullptr : found->get();
}

std::vector<OptionSpec> CommandLine::allOptions(const Command &command)
{
    std::vector<OptionSpec> all = command.options();
    all.push_back({"json", "", "write the result as JSON", ""});
    all.push_back({"help", "", "show this help", ""});
    return all;
}

std::string CommandLine::synopsis(const Command &command)
{
    const std::string positional = command.positional();
    return "lentillock " + command.name() + (positional.empty() ? "" : " " + positional) + " [options]";
}

std::string CommandLine::help(const Command &command)
{
    std::string text = "usage: " + synopsis(command) + "\n\n" + command.summary() + "\n\noptions:\n";
    for (const OptionSpec &option : allOptions(command)) {
        const std::string name = "  --" + option.name + (option.argument.empty() ? "" : " " + option.argument);
        text += padRight(name, DescriptionColumn) + option.description;
        text += option.defaultValue.empty() ? "\n" : " (default: " + option.defaultValue + ")\n";
    }
    return text;
}

std::string CommandLine::overview() const
{
    std::string text = "usage: lentillock COMMAND ...\n       lentillock --help | --version\n\ncommands:\n";
    for (const auto &command : commands_) {
        text += padRight("  " + command->name(), DescriptionColumn / 2) + command->summary() + '\n';
    }
    return text + "\nlentillock COMMAND --help shows the options of a command.\n";
}

}
