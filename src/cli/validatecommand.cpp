#include "cli/validatecommand.h"

#include "cli/inputfile.h"
#include "cli/logsession.h"
#include "cli/report.h"
#include "config/documentvalidator.h"

#include <filesystem>
#include <iterator>

namespace Lentillock
{

namespace
{

leaf::result<SectionTexts> readDirectory(const std::filesystem::path &directory)
{
    SectionTexts texts;
    for (const std::string_view section : SectionNames) {
        const std::filesystem::path file = directory / (std::string(section) + ".json");
        std::error_code error;
        if (std::filesystem::exists(file, error)) {
            BOOST_LEAF_AUTO(text, readInputFile(file.string()));
            texts.emplace(section, std::move(text));
        }
    }
    if (texts.empty()) {
        return leaf::new_error(CommandFailure{directory.string() + " contains no file named after a section, such as models.json"});
    }
    return texts;
}

/// Validates a single section, within the current document if a log was given.
leaf::result<void> validateSection(const Arguments &arguments, Findings &findings)
{
    BOOST_LEAF_AUTO(section, arguments.section(0));
    BOOST_LEAF_AUTO(text, readInputFile(arguments.positional()[1]));
    if (!arguments.has("log")) {
        DocumentValidator::validateSection(section, text, findings);
        return {};
    }
    BOOST_LEAF_AUTO(session, LogSession::create(arguments));
    BOOST_LEAF_AUTO(config, session.load());
    DocumentValidator::validateChange(*config.stateMachine.document(), section, text, findings);
    return {};
}

}

std::string ValidateCommand::name() const
{
    return "validate";
}

std::string ValidateCommand::positional() const
{
    return "DIRECTORY | SECTION FILE";
}

std::string ValidateCommand::summary() const
{
    return "Checks a whole document, or one section, and reports all problems at once.";
}

std::vector<OptionSpec> ValidateCommand::options() const
{
    std::vector<OptionSpec> options = LogSession::options();
    options.front().description = "URL of the log service; a single section is then checked against the sections in force";
    return options;
}

leaf::result<int> ValidateCommand::run(const Arguments &arguments, Streams streams) const
{
    BOOST_LEAF_CHECK(arguments.requireCount(1, 2));
    Findings findings;
    if (arguments.positional().size() == 1) {
        BOOST_LEAF_AUTO(texts, readDirectory(arguments.positional()[0]));
        DocumentValidator::validate(texts, findings);
    } else {
        BOOST_LEAF_CHECK(validateSection(arguments, findings));
    }
    if (arguments.has("json")) {
        writeJson(streams.out, {{"valid", !findings.hasErrors()}, {"findings", findingsToJson(findings)}});
    } else {
        streams.err << findings.toText();
        streams.out << (findings.hasErrors() ? "not valid\n" : "valid\n");
    }
    return findings.hasErrors() ? ExitInputError : ExitSuccess;
}

}
