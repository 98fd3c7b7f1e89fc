#include "cli/showcommand.h"

#include "cli/logsession.h"
#include "cli/report.h"

namespace Lentillock
{

std::string ShowCommand::name() const
{
    return "show";
}

std::string ShowCommand::positional() const
{
    return "SECTION";
}

std::string ShowCommand::summary() const
{
    return "Prints the current text of a section, and its version on standard error.";
}

std::vector<OptionSpec> ShowCommand::options() const
{
    return LogSession::options();
}

leaf::result<int> ShowCommand::run(const Arguments &arguments, Streams streams) const
{
    BOOST_LEAF_CHECK(arguments.requireCount(1, 1));
    BOOST_LEAF_AUTO(name, arguments.section(0));
    BOOST_LEAF_AUTO(session, LogSession::create(arguments));
    BOOST_LEAF_AUTO(config, session.load());
    const SectionState section = config.stateMachine.section(name);
    if (arguments.has("json")) {
        writeJson(streams.out, {{"section", name}, {"version", section.version}, {"text", section.text}});
        return ExitSuccess;
    }
    if (section.version == 0) {
        streams.err << name << ": has not been published\n";
        return ExitSuccess;
    }
    streams.out << section.text << (section.text.ends_with('\n') ? "" : "\n");
    streams.err << name << ": version " << section.version << '\n';
    return ExitSuccess;
}

}
