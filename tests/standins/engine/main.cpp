#include "standins/engine/engineserver.h"
#include "standins/engine/serviceserver.h"

#include <boost/program_options.hpp>

#include <unistd.h>

#include <chrono>
#include <csignal>
#include <iostream>
#include <memory>

namespace
{

using namespace Lentillock;
namespace options = boost::program_options;

/// Returns an id that differs each time the program starts.
std::string newGeneration()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count()) + '-' + std::to_string(getpid());
}

std::unique_ptr<StandInServer> makeServer(const options::variables_map &values)
{
    if (values.count("service") > 0) {
        return std::make_unique<ServiceServer>(newGeneration());
    }
    EngineSettings settings;
    settings.memoryTokens = values["memory-tokens"].as<std::uint64_t>();
    settings.cacheTokens = values["cache-tokens"].as<std::uint64_t>();
    settings.reportLag = std::chrono::milliseconds(values["report-lag-ms"].as<std::uint64_t>());
    settings.checksFencing = values.count("no-fencing") == 0;
    return std::make_unique<EngineServer>(settings, values["model"].as<std::string>(), newGeneration(), values["speed"].as<double>());
}

int run(const options::variables_map &values)
{
    sigset_t stopSignals;
    sigemptyset(&stopSignals);
    sigaddset(&stopSignals, SIGTERM);
    sigaddset(&stopSignals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stopSignals, nullptr);
    const std::unique_ptr<StandInServer> server = makeServer(values);
    const HttpServer http("127.0.0.1", values["port"].as<std::uint16_t>(), [&server](HttpRequest request, HttpResponderPtr responder) {
        server->handle(std::move(request), std::move(responder));
    });
    std::cout << R"({"http":"127.0.0.1:)" << http.port() << "\"}" << std::endl;
    int received = 0;
    sigwait(&stopSignals, &received);
    return 0;
}

}

int main(int argc, char **argv)
{
    const EngineSettings defaults;
    options::options_description description("Stand-in of a model engine or, with --service, of a plain service");
    auto add = description.add_options();
    add("help", "print this text");
    add("port", options::value<std::uint16_t>()->default_value(0), "port on 127.0.0.1; 0 lets the kernel choose");
    add("service", "be a plain service");
    add("model", options::value<std::string>()->default_value("doc-reader"), "model that is loaded");
    add("speed", options::value<double>()->default_value(1), "model time per real time");
    add("memory-tokens", options::value<std::uint64_t>()->default_value(defaults.memoryTokens), "KV cache memory");
    add("cache-tokens", options::value<std::uint64_t>()->default_value(defaults.cacheTokens), "memory of the prefix cache");
    add("report-lag-ms", options::value<std::uint64_t>()->default_value(200), "age of load reports in model time");
    add("no-fencing", "accept orders with old fencing numbers");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        return run(values);
    } catch (const options::error &error) {
        std::cerr << error.what() << '\n';
        return 2;
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 3;
    }
}
