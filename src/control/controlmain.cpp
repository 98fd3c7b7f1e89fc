#include "control/controlmain.h"

#include "base/log.h"
#include "control/controlprocess.h"
#include "control/controlsettings.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <fstream>
#include <iterator>
#include <sstream>

namespace Lentillock
{

namespace
{

namespace options = boost::program_options;

enum ExitStatus {
    Success = 0,
    InputErrors = 1,
    UsageError = 2,
    RuntimeFailure = 3,
};

options::options_description optionsDescription()
{
    options::options_description description("Options");
    description.add_options()("settings", options::value<std::string>()->value_name("FILE"), "read the settings from FILE (JSON)")(
        "check", "check the settings and exit")("help", "print this text and exit")("version", "print the version and exit");
    return description;
}

std::optional<ControlSettings> loadSettings(const std::string &file, std::ostream &errors)
{
    std::ifstream stream(file);
    if (!stream) {
        errors << "error: " << file << "#: cannot be read\n";
        return std::nullopt;
    }
    const std::string text((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
    Findings findings;
    auto settings = readControlSettings(text, file, findings);
    errors << findings.toText();
    return settings;
}

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

void waitForStopSignal(ControlProcess &process, milliseconds drainDelay)
{
    const sigset_t signals = stopSignals();
    int signal = 0;
    sigwait(&signals, &signal);
    process.announceLeaving();
    Log::write(Log::Level::Info, "leaving");
    // Serve until the delay has passed or a second signal arrives.
    const auto seconds = std::chrono::floor<std::chrono::seconds>(drainDelay);
    const timespec limit{seconds.count(), std::chrono::nanoseconds(drainDelay - seconds).count()};
    sigtimedwait(&signals, nullptr, &limit);
}

int serve(const ControlSettings &settings, std::ostream &output, std::ostream &errors)
{
    // Block the signals before starting the first thread, so that all threads inherit the mask and only sigwait() receives the signals.
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    Log::initialize("lentillock-control", Log::Level::Info);
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
            BOOST_LEAF_AUTO(process, ControlProcess::start(settings));
            output << process->addresses().toJson() << std::endl;
            waitForStopSignal(*process, settings.drainDelay);
            return Success;
        },
        [&](const std::string &message) -> int {
            errors << "error: " << message << '\n';
            return RuntimeFailure;
        },
        [&]() -> int {
            errors << "error: the process could not start\n";
            return RuntimeFailure;
        });
}

int reportUsageError(std::ostream &errors, const std::string &message)
{
    errors << "error: " << message << "\nSee lentillock-control --help.\n";
    return UsageError;
}

}

std::string controlHelpText()
{
    std::ostringstream text;
    text << "Usage: lentillock-control --settings FILE [--check]\n\n"
         << "Control process of an entry VM: configuration, membership, endpoint states, claims and memory reclaim.\n\n"
         << optionsDescription() << "\nSettings\n";
    for (const TextSetting &setting : controlTextSettings()) {
        text << "  " << setting.name << " (" << (setting.required ? "required" : "optional") << "): " << setting.description << '\n';
    }
    text << helpText(controlNumberSettings());
    text << "\nExit status: 0 success, 1 errors in the settings, 2 wrong usage, 3 failure at run time.\n";
    return text.str();
}

int runControl(const std::vector<std::string> &arguments, std::ostream &output, std::ostream &errors)
{
    options::variables_map values;
    try {
        options::store(options::command_line_parser(arguments).options(optionsDescription()).positional({}).run(), values);
    } catch (const options::error &error) {
        return reportUsageError(errors, error.what());
    }
    if (values.contains("help")) {
        output << controlHelpText();
        return Success;
    }
    if (values.contains("version")) {
        output << "lentillock-control " << LENTILLOCK_VERSION << '\n';
        return Success;
    }
    if (!values.contains("settings")) {
        return reportUsageError(errors, "--settings FILE is missing");
    }
    const auto settings = loadSettings(values["settings"].as<std::string>(), errors);
    if (!settings) {
        return InputErrors;
    }
    return values.contains("check") ? Success : serve(*settings, output, errors);
}

}
