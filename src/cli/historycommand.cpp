#include "cli/historycommand.h"

#include "cli/logsession.h"
#include "cli/report.h"

namespace Lentillock
{

namespace
{

bool matchesFilters(const ConfigDecision &decision, const Arguments &arguments)
{
    const bool sectionMatches = arguments.positional().empty() || decision.record.section == arguments.positional()[0];
    const bool idMatches = !arguments.has("id") || decision.record.id == arguments.text("id");
    return sectionMatches && idMatches;
}

boost::json::object toJson(const ConfigDecision &decision)
{
    return {{"offset", decision.offset},
            {"timeMs", decision.time.time_since_epoch().count()},
            {"verdict", verdictName(decision.verdict)},
            {"section", decision.record.section},
            {"base", decision.record.base},
            {"author", decision.record.author},
            {"id", decision.record.id},
            {"reason", verdictReason(decision)},
            {"findings", findingsToJson(decision.findings)}};
}

}

std::string HistoryCommand::name() const
{
    return "history";
}

std::string HistoryCommand::positional() const
{
    return "[SECTION]";
}

std::string HistoryCommand::summary() const
{
    return "Lists the records that are still in the log, and why each was accepted or refused.";
}

std::vector<OptionSpec> HistoryCommand::options() const
{
    std::vector<OptionSpec> options = LogSession::options();
    options.insert(options.begin(), {"id", "ID", "show only the record with this id", ""});
    return options;
}

leaf::result<int> HistoryCommand::run(const Arguments &arguments, Streams streams) const
{
    BOOST_LEAF_CHECK(arguments.requireCount(0, 1));
    if (!arguments.positional().empty()) {
        BOOST_LEAF_CHECK(arguments.section(0));
    }
    BOOST_LEAF_AUTO(session, LogSession::create(arguments));
    BOOST_LEAF_AUTO(config, session.load());
    boost::json::array records;
    std::vector<std::vector<std::string>> rows{{"OFFSET", "TIME", "SECTION", "AUTHOR", "VERDICT", "REASON"}};
    for (const ConfigDecision &decision : config.decisions) {
        if (matchesFilters(decision, arguments)) {
            records.push_back(toJson(decision));
            const bool isPublish = !decision.record.id.empty();
            rows.push_back({std::to_string(decision.offset),
                            timeText(decision.time),
                            isPublish ? decision.record.section : "-",
                            isPublish ? decision.record.author : "-",
                            verdictName(decision.verdict),
                            verdictReason(decision)});
        }
    }
    if (arguments.has("json")) {
        writeJson(streams.out, {{"version", config.stateMachine.version()}, {"records", std::move(records)}});
    } else {
        writeTable(streams.out, rows);
    }
    return ExitSuccess;
}

}
