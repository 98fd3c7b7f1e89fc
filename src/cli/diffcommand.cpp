#include "cli/diffcommand.h"

#include "base/jsonreader.h"
#include "cli/inputfile.h"
#include "cli/jsondiff.h"
#include "cli/logsession.h"
#include "cli/report.h"

namespace Lentillock
{

std::string DiffCommand::name() const
{
    return "diff";
}

std::string DiffCommand::positional() const
{
    return "SECTION FILE";
}

std::string DiffCommand::summary() const
{
    return "Shows what publishing a file would change in a section.";
}

std::vector<OptionSpec> DiffCommand::options() const
{
    return LogSession::options();
}

leaf::result<int> DiffCommand::run(const Arguments &arguments, Streams streams) const
{
    BOOST_LEAF_CHECK(arguments.requireCount(2, 2));
    BOOST_LEAF_AUTO(section, arguments.section(0));
    BOOST_LEAF_AUTO(text, readInputFile(arguments.positional()[1]));
    Findings findings;
    const auto proposed = parseJson(text, section, findings);
    if (!proposed) {
        streams.err << findings.toText();
        return ExitInputError;
    }
    BOOST_LEAF_AUTO(session, LogSession::create(arguments));
    BOOST_LEAF_AUTO(config, session.load());
    const SectionState current = config.stateMachine.section(section);
    // The current text was validated before it was accepted, so it is valid JSON.
    const auto before = current.version == 0 ? boost::json::value(boost::json::object()) : parseJson(current.text, section, findings).value();
    const std::vector<JsonChange> changes = jsonDifferences(before, *proposed);
    if (arguments.has("json")) {
        boost::json::array array;
        for (const JsonChange &change : changes) {
            array.push_back(boost::json::object{{"place", change.path}, {"before", change.before}, {"after", change.after}});
        }
        writeJson(streams.out, {{"section", section}, {"version", current.version}, {"changes", std::move(array)}});
        return ExitSuccess;
    }
    streams.out << section << ": " << changes.size() << " changes against version " << current.version << '\n';
    for (const JsonChange &change : changes) {
        if (change.before.empty()) {
            streams.out << "  added   " << change.path << ": " << change.after << '\n';
        } else if (change.after.empty()) {
            streams.out << "  removed " << change.path << ": " << change.before << '\n';
        } else {
            streams.out << "  changed " << change.path << ": " << change.before << " -> " << change.after << '\n';
        }
    }
    return ExitSuccess;
}

}
