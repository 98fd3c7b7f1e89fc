#include "entry/entrycommand.h"

#include "base/log.h"
#include "entry/entryprocess.h"
#include "entry/entrysettings.h"

#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace Lentillock
{

namespace
{

namespace options = boost::program_options;

constexpr int Success = 0;
constexpr int InvalidInput = 1;
constexpr int UsageError = 2;
constexpr int RuntimeFailure = 3;

constexpr unsigned HelpLineLength = 120;

options::options_description description()
{
    options::options_description result("Usage: lentillock-entry --settings FILE [--check]\n\nOptions", HelpLineLength);
    auto add = result.add_options();
    add("help", "print this text and exit");
    add("version", "print the version and exit");
    add("settings", options::value<std::string>()->value_name("FILE"), "JSON file with the settings; required");
    add("check", "check the settings, report all problems and exit");
    return result;
}

std::string settingsHelp()
{
    std::ostringstream text;
    text << "\nSettings:\n";
    for (const TextSetting &setting : entryTextSettings()) {
        text << "  " << setting.name << (setting.required ? " (required): " : ": ") << setting.description << '\n';
    }
    text << helpText(entryNumberSettings());
    return text.str();
}

int runWith(const options::variables_map &values)
{
    if (values.count("settings") == 0) {
        std::cerr << "lentillock-entry: --settings is missing; see --help\n";
        return UsageError;
    }
    const std::string name = values["settings"].as<std::string>();
    std::ifstream file(name, std::ios::binary);
    if (!file) {
        std::cerr << "lentillock-entry: cannot read " << name << '\n';
        return InvalidInput;
    }
    std::ostringstream text;
    text << file.rdbuf();
    Findings findings;
    const auto settings = readEntrySettings(text.str(), name, findings);
    std::cerr << findings.toText();
    if (!settings) {
        return InvalidInput;
    }
    if (values.count("check") > 0) {
        return Success;
    }
    Log::initialize("lentillock-entry", Log::Level::Info);
    return runEntry(*settings);
}

}

int EntryCommand::run(int argc, char **argv)
{
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description()), values);
        if (values.count("help") > 0) {
            std::cout << helpText();
            return Success;
        }
        if (values.count("version") > 0) {
            std::cout << "lentillock-entry " << LENTILLOCK_VERSION << '\n';
            return Success;
        }
        return runWith(values);
    } catch (const options::error &error) {
        std::cerr << "lentillock-entry: " << error.what() << "; see --help\n";
        return UsageError;
    } catch (const std::exception &error) {
        std::cerr << "lentillock-entry: " << error.what() << '\n';
        return RuntimeFailure;
    }
}

std::string EntryCommand::helpText()
{
    std::ostringstream text;
    text << description() << settingsHelp();
    return text.str();
}

}
