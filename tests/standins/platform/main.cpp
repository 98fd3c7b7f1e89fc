#include "standins/platform/platformserver.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <exception>
#include <iostream>

int main(int argc, char **argv)
{
    try {
        namespace options = boost::program_options;
        Lentillock::PlatformServer::Settings settings;
        std::int64_t retentionMs = 0;
        options::options_description description("standin-platform");
        description.add_options()("port", options::value(&settings.port)->default_value(0), "port of the HTTP server");
        description.add_options()(
            "retention-records", options::value(&settings.retentionRecords)->default_value(1'000'000), "records that are kept in each stream");
        description.add_options()("retention-ms", options::value(&retentionMs)->default_value(86'400'000), "time that records are kept");
        description.add_options()("fetches-per-minute", options::value(&settings.fetchesPerMinute)->default_value(60), "limit of the weight store");
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
        settings.retention = Lentillock::milliseconds(retentionMs);

        // Block the signals before any thread starts, so that only sigwait() receives them.
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);

        Lentillock::PlatformServer server(settings);
        std::cout << R"({"http":")" << server.start() << "\"}" << std::endl;
        int received = 0;
        sigwait(&signals, &received);
        server.stop();
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "standin-platform: " << error.what() << '\n';
        return 3;
    }
}
