#include "cli/publishcommand.h"

#include "cli/inputfile.h"
#include "cli/logsession.h"
#include "cli/report.h"

#include <array>
#include <cstdlib>
#include <limits>
#include <optional>
#include <random>

namespace Lentillock
{

namespace
{

std::string randomId()
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr std::size_t idLength = 32;
    std::random_device random;
    std::string id;
    for (std::size_t i = 0; i < idLength; ++i) {
        id += digits[random() % digits.size()];
    }
    return id;
}

std::string authorName(const Arguments &arguments)
{
    const char *user = std::getenv("USER");
    const std::string author = arguments.text("author");
    return author.empty() ? (user == nullptr ? "unknown" : user) : author;
}

struct OutcomeText {
    PublishOutcome outcome;
    const char *name; ///< In JSON output.
    ExitStatus status;
    const char *message;
};

constexpr std::array<OutcomeText, 6> OutcomeTexts{{
    {PublishOutcome::Accepted, "accepted", ExitSuccess, "published"},
    {PublishOutcome::Conflict, "conflict", ExitInputError, "not published: a newer version of the section has been published since the base version"},
    {PublishOutcome::Invalid, "invalid", ExitInputError, "not published: the resulting document is not valid"},
    {PublishOutcome::NotPublished, "not-published", ExitFailure, "not published: the log was not available before the timeout"},
    {PublishOutcome::Unknown, "unknown", ExitFailure, "it is unknown whether the section was published; look for the id in the output of lentillock history"},
    {PublishOutcome::NewerRules, "newer-rules", ExitFailure, "not published: the log has records of newer rules; this program must be updated"},
}};

const OutcomeText &outcomeText(PublishOutcome outcome)
{
    return OutcomeTexts.at(static_cast<std::size_t>(outcome));
}

std::string withNewline(const std::string &text)
{
    return text.ends_with('\n') ? text : text + '\n';
}

void writeTextResult(const PublishRecord &record, const PublishDone &done, Streams streams)
{
    const ConfigDecision &decision = done.decision;
    streams.err << decision.findings.toText();
    if (done.outcome == PublishOutcome::Accepted) {
        streams.out << record.section << " is now at version " << decision.offset << " (id " << record.id << ")\n";
        return;
    }
    streams.err << record.section << ": " << outcomeText(done.outcome).message << " (id " << record.id << ")\n";
    if (done.outcome == PublishOutcome::Conflict) {
        streams.err << verdictReason(decision) << "\n--- current text, version " << decision.currentVersion << '\n' << withNewline(decision.currentText);
        streams.err << "--- your text\n" << withNewline(record.text);
    }
}

void writeJsonResult(const PublishRecord &record, const PublishDone &done, Streams streams)
{
    const ConfigDecision &decision = done.decision;
    boost::json::object result{{"outcome", outcomeText(done.outcome).name}, {"section", record.section}, {"id", record.id}};
    if (done.outcome == PublishOutcome::Accepted) {
        result["version"] = decision.offset;
    }
    if (done.outcome == PublishOutcome::Conflict) {
        result["base"] = decision.record.base;
        result["currentVersion"] = decision.currentVersion;
        result["currentText"] = decision.currentText;
    }
    result["findings"] = findingsToJson(decision.findings);
    writeJson(streams.out, result);
}

}

std::string PublishCommand::name() const
{
    return "publish";
}

std::string PublishCommand::positional() const
{
    return "SECTION FILE";
}

std::string PublishCommand::summary() const
{
    return "Publishes a section and tells whether it was accepted.";
}

std::vector<OptionSpec> PublishCommand::options() const
{
    std::vector<OptionSpec> options = LogSession::options();
    options.insert(options.begin(),
                   {{"base", "VERSION", "version that the file was edited from; without it the version that is current now", ""},
                    {"author", "NAME", "name shown in the history; without it the environment variable USER", ""}});
    return options;
}

leaf::result<int> PublishCommand::run(const Arguments &arguments, Streams streams) const
{
    BOOST_LEAF_CHECK(arguments.requireCount(2, 2));
    PublishRecord record;
    BOOST_LEAF_ASSIGN(record.section, arguments.section(0));
    std::optional<std::uint64_t> base;
    if (arguments.has("base")) {
        BOOST_LEAF_ASSIGN(base, arguments.number("base", 0, std::numeric_limits<std::int64_t>::max()));
    }
    BOOST_LEAF_ASSIGN(record.text, readInputFile(arguments.positional()[1]));
    if (record.text.empty()) {
        return leaf::new_error(CommandFailure{arguments.positional()[1] + " is empty"});
    }
    record.author = authorName(arguments);
    record.id = randomId();
    BOOST_LEAF_AUTO(session, LogSession::create(arguments));
    BOOST_LEAF_AUTO(done, session.publish(record, base));
    if (arguments.has("json")) {
        writeJsonResult(record, done, streams);
    } else {
        writeTextResult(record, done, streams);
    }
    return outcomeText(done.outcome).status;
}

}
