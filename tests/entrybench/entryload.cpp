#include "base/time.h"
#include "entrysupport/rawsocket.h"
#include "entrysupport/scriptedcontrol.h"
#include "entrysupport/scriptedendpoint.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>
#include <vector>

namespace
{

using namespace Lentillock;
namespace options = boost::program_options;

struct LoadSettings {
    std::uint16_t port = 0;
    std::size_t connections = 1;
    std::size_t promptBytes = 8000;
    std::size_t tokens = 1;
    double seconds = 5;
    double ratePerSecond = 0; ///< Total over all connections; 0 means as fast as possible.
    std::uint64_t seed = 1;
};

struct Sample {
    double firstTokenMs = 0;
    std::size_t tokens = 0;
};

std::string requestBytes(std::size_t promptBytes, std::size_t tokens, const std::string &prefix)
{
    const std::string body = R"({"model":"doc-reader","max_tokens":)" + std::to_string(tokens) + R"(,"stream":true,"prompt":")"
        + std::string(std::max<std::size_t>(promptBytes, 1), 'x') + "\"}";
    return "POST " + prefix + "/v1/completions HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer secret-a\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::vector<Sample> runConnection(const LoadSettings &load, std::size_t index, TimePoint end, const std::string &terminator)
{
    std::mt19937_64 random(load.seed + index);
    const std::string request = requestBytes(load.promptBytes, load.tokens, "");
    std::vector<Sample> samples;
    RawSocket socket = RawSocket::connect(load.port);
    std::exponential_distribution<double> gap(load.ratePerSecond > 0 ? load.ratePerSecond / static_cast<double>(load.connections) : 1);
    TimePoint next = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < end) {
        if (load.ratePerSecond > 0) {
            next += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)));
            std::this_thread::sleep_until(std::min(next, end));
        }
        const TimePoint start = std::chrono::steady_clock::now();
        socket.send(request);
        const std::string head = socket.readUntil("data: ");
        const TimePoint first = std::chrono::steady_clock::now();
        const std::string rest = socket.readUntil(terminator, milliseconds(20000));
        if (!head.starts_with("HTTP/1.1 200") || !rest.ends_with(terminator)) {
            std::cerr << "unexpected answer: " << head << rest << '\n';
            std::exit(3);
        }
        samples.push_back({std::chrono::duration<double, std::milli>(first - start).count(), load.tokens});
    }
    return samples;
}

double quantile(std::vector<double> &values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

void runRelay(const std::string &name, const LoadSettings &load, const std::string &terminator)
{
    const TimePoint start = std::chrono::steady_clock::now();
    const TimePoint end = start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(load.seconds));
    std::vector<std::vector<Sample>> results(load.connections);
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < load.connections; ++index) {
        threads.emplace_back([&, index] { results[index] = runConnection(load, index, end, terminator); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const double elapsed = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    std::vector<double> firstTokens;
    double tokens = 0;
    for (const auto &samples : results) {
        for (const Sample &sample : samples) {
            firstTokens.push_back(sample.firstTokenMs);
            tokens += static_cast<double>(sample.tokens);
        }
    }
    std::cout << R"({"run":")" << name << R"(","requests":)" << firstTokens.size() << R"(,"requestsPerSecond":)"
              << static_cast<double>(firstTokens.size()) / elapsed << R"(,"tokensPerSecond":)" << tokens / elapsed << R"(,"firstTokenP50Ms":)"
              << quantile(firstTokens, 0.5) << R"(,"firstTokenP99Ms":)" << quantile(firstTokens, 0.99) << "}" << std::endl;
}

/// Sends one request on each connection at the same time. If @p readResponses is false, no connection reads its response.
void runBurst(const LoadSettings &load, bool readResponses)
{
    std::atomic<int> succeeded = 0;
    std::atomic<int> refused = 0;
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < load.connections; ++index) {
        threads.emplace_back([&] {
            const std::string request = requestBytes(load.promptBytes, load.tokens, "");
            RawSocket socket = RawSocket::connect(load.port);
            if (!readResponses) {
                constexpr int receiveBufferBytes = 4096;
                socket.setReceiveBuffer(receiveBufferBytes);
                socket.send(request);
                std::this_thread::sleep_for(std::chrono::duration<double>(load.seconds));
                return;
            }
            socket.send(request);
            const std::string head = socket.readUntil("\r\n\r\n", milliseconds(20000));
            (head.starts_with("HTTP/1.1 200") ? succeeded : refused) += 1;
            socket.readAll(milliseconds(200));
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::cout << R"({"run":"burst","connections":)" << load.connections << R"(,"promptBytes":)" << load.promptBytes << R"(,"tokens":)" << load.tokens
              << R"(,"succeeded":)" << succeeded << R"(,"refused":)" << refused << "}" << std::endl;
}

/// Answers a completion request with max_tokens events of one token each, in a single write.
bool answerCompletion(RawSocket &connection, const ScriptedEndpoint::Request &request)
{
    const std::size_t fieldOffset = request.body.find("\"max_tokens\":");
    const std::size_t tokens = fieldOffset == std::string::npos ? 1 : std::strtoull(request.body.c_str() + fieldOffset + 13, nullptr, 10);
    std::string events;
    for (std::size_t position = 0; position < tokens; ++position) {
        events += ScriptedEndpoint::event(position, 1, "abcdefg ");
    }
    events += ScriptedEndpoint::endEvent(tokens);
    std::ostringstream chunked;
    chunked << "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            << std::hex << events.size() << "\r\n"
            << events << "\r\n0\r\n\r\n";
    return connection.send(chunked.str());
}

}

int main(int argc, char **argv)
{
    options::options_description description("Load generator with a trivial endpoint and a scripted control process for lentillock-entry");
    auto add = description.add_options();
    LoadSettings load;
    std::string scenario;
    add("help", "print this text");
    add("connections", options::value(&load.connections)->default_value(16), "callers' connections");
    add("prompt-bytes", options::value(&load.promptBytes)->default_value(8000), "length of each prompt");
    add("tokens", options::value(&load.tokens)->default_value(1), "tokens of each answer");
    add("seconds", options::value(&load.seconds)->default_value(5), "length of each run");
    add("rate", options::value(&load.ratePerSecond)->default_value(0), "requests/s over all connections; 0 means as fast as possible");
    add("scenario", options::value(&scenario)->default_value("relay"), "relay, large-bodies or slow-readers");
    add("seed", options::value(&load.seed)->default_value(1), "seed of the arrival times");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    const bool largeBodies = scenario == "large-bodies";
    const ScriptedEndpoint endpoint([largeBodies](RawSocket &connection, const ScriptedEndpoint::Request &request) {
        if (request.head.starts_with("GET /v1/requests/")) {
            return connection.send(ScriptedEndpoint::json(200, R"({"state":"running","position":0})"));
        }
        if (largeBodies) {
            // Delays the responses so that the entry holds all request bodies at the same time.
            std::this_thread::sleep_for(std::chrono::seconds(2));
        }
        return answerCompletion(connection, request);
    });
    const ScriptedControl control({.configVersion = 1, .sections = smallDocument(endpoint.address()), .liveEndpoints = {"e1"}});
    // The parent process starts the entry with this control address and writes the entry's port to standard input.
    std::cout << R"({"control":")" << control.address() << "\"}" << std::endl;
    if (!(std::cin >> load.port)) {
        return 2;
    }
    if (scenario != "relay") {
        runBurst(load, largeBodies);
        return 0;
    }
    LoadSettings direct = load;
    direct.port = endpoint.port();
    runRelay("direct", direct, "0\r\n\r\n");
    runRelay("entry", load, "0\r\n\r\n");
    return 0;
}
