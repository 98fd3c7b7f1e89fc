#include "integration/testfleet.h"

#include "base/hash.h"
#include "config/configrecord.h"
#include "config/configstatemachine.h"

#include <boost/json.hpp>

#include <array>
#include <cstdlib>
#include <fstream>
#include <random>
#include <stdexcept>
#include <thread>

namespace Lentillock
{

namespace
{

constexpr std::chrono::seconds ReadyTimeout{20};
constexpr std::chrono::milliseconds PollInterval{20};
constexpr milliseconds AppendTimeout{2000};

std::string programPath(const char *name)
{
    return std::string(LENTILLOCK_BINARY_DIR) + '/' + name;
}

boost::json::value parseJson(const std::string &text)
{
    boost::json::error_code error;
    return boost::json::parse(text, error);
}

std::string stringAt(const boost::json::value &value, const char *pointer)
{
    boost::json::error_code error;
    const boost::json::value *found = value.find_pointer(pointer, error);
    if (found == nullptr || !found->is_string()) {
        return {};
    }
    return {found->get_string().data(), found->get_string().size()};
}

}

TestFleet::TestFleet(TestFleetOptions options)
    : options_(std::move(options))
{
    std::string name = "/tmp/lentillock-test-XXXXXX";
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary directory");
    }
    directory_ = name;
    platform_ = std::make_unique<ChildProcess>(programPath("tests/standins/platform/standin-platform"),
                                               std::vector<std::string>{"--retention-records", std::to_string(options_.logRetentionRecords)},
                                               directory_ + "/platform.log");
    for (const TestEngineOptions &engine : options_.engines) {
        std::vector<std::string> arguments{
            "--model", engine.model, "--speed", std::to_string(options_.engineSpeed), "--memory-tokens", std::to_string(engine.memoryTokens)};
        if (engine.isService) {
            arguments.emplace_back("--service");
        }
        engines_[engine.id]
            = std::make_unique<ChildProcess>(programPath("tests/standins/engine/lentillock-standin-engine"), arguments, directory_ + '/' + engine.id + ".log");
    }
    setVmList({});
    publish("zones", R"({"zones":[{"id":"z1","region":"r"},{"id":"z2","region":"r"},{"id":"z3","region":"r"}]})");
    publish("models", R"({"models":[{"id":"doc-reader","version":"1","maxTokens":1100000}]})");
    publish("priorities", prioritiesSection(1));
    publish("endpoints", endpointsSection());
    publishRequestRateLimit(0);
    vms_.resize(options_.vms);
    for (std::size_t i = 0; i < options_.vms; ++i) {
        startControl(i);
    }
    for (std::size_t i = 0; i < options_.vms; ++i) {
        startEntry(i);
    }
    const bool ready = waitFor(
        [this] {
            for (std::size_t i = 0; i < options_.vms; ++i) {
                if (!isReady(i)) {
                    return false;
                }
            }
            return true;
        },
        ReadyTimeout);
    if (!ready) {
        throw std::runtime_error("the fleet did not become ready; logs are in " + directory_);
    }
}

TestFleet::~TestFleet() = default;

TestFleet::Vm &TestFleet::vm(std::size_t index)
{
    return vms_.at(index);
}

std::size_t TestFleet::vmCount() const
{
    return vms_.size();
}

ChildProcess &TestFleet::engine(const std::string &id)
{
    return *engines_.at(id);
}

ChildProcess &TestFleet::platform()
{
    return *platform_;
}

std::string TestFleet::engineUrl(const std::string &id) const
{
    return "http://" + engines_.at(id)->address("http");
}

std::string TestFleet::platformUrl() const
{
    return "http://" + platform_->address("http");
}

std::string TestFleet::entryUrl(std::size_t index) const
{
    return "http://" + vms_.at(index).entry->address("callers");
}

void TestFleet::startControl(std::size_t index)
{
    const std::string vm = "vm" + std::to_string(index + 1);
    boost::json::array seeds;
    for (const Vm &other : vms_) {
        if (other.control != nullptr && other.control->pid() > 0 && &other != &vms_[index]) {
            seeds.emplace_back(other.control->address("gossip"));
        }
    }
    // A restarted control process listens on its previous addresses, because its entry keeps connecting to those.
    const bool isRestart = vms_[index].control != nullptr;
    const boost::json::object settings{
        {"vm", vm},
        {"zone", "z" + std::to_string(index % 3 + 1)},
        {"grpc", isRestart ? vms_[index].control->address("grpc") : "127.0.0.1:0"},
        {"gossip", isRestart ? vms_[index].control->address("gossip") : "127.0.0.1:0"},
        {"operators", "127.0.0.1:0"},
        {"seeds", seeds},
        {"log", platformUrl()},
        {"vmList", platformUrl()},
        {"logRetentionRecords", options_.logRetentionRecords},
    };
    vms_[index].control.reset();
    vms_[index].control
        = std::make_unique<ChildProcess>(programPath("src/control/lentillock-control"),
                                         std::vector<std::string>{"--settings", writeSettings(vm + "-control", boost::json::serialize(settings))},
                                         directory_ + '/' + vm + "-control.log");
}

void TestFleet::startEntry(std::size_t index)
{
    const std::string vm = "vm" + std::to_string(index + 1);
    boost::json::array controls{vms_[index].control->address("grpc")};
    for (std::size_t other = 0; other < vms_.size(); ++other) {
        if (other != index && vms_[other].control != nullptr) {
            controls.emplace_back(vms_[other].control->address("grpc"));
        }
    }
    const boost::json::object settings{
        {"vm", vm},
        {"zone", "z" + std::to_string(index % 3 + 1)},
        {"callers", "127.0.0.1:0"},
        {"operators", "127.0.0.1:0"},
        {"grpc", "127.0.0.1:0"},
        {"controls", controls},
        {"vmList", platformUrl()},
        {"drainDelayMs", 500},
    };
    vms_[index].entry.reset();
    vms_[index].entry = std::make_unique<ChildProcess>(programPath("src/entry/lentillock-entry"),
                                                       std::vector<std::string>{"--settings", writeSettings(vm + "-entry", boost::json::serialize(settings))},
                                                       directory_ + '/' + vm + "-entry.log");
}

std::uint64_t TestFleet::appendPublish(const std::string &section, std::uint64_t baseVersion, const std::string &text) const
{
    HttpLogService log(platformUrl());
    const PublishRecord record{newestRulesVersion(), newIdempotencyKey(), section, baseVersion, "test", text};
    const auto offset = log.append(ConfigStream, {encodeRecord(record)}, AppendTimeout);
    if (!offset) {
        throw std::runtime_error("cannot append a publish record for section " + section);
    }
    return *offset;
}

std::uint64_t TestFleet::publish(const std::string &section, const std::string &text)
{
    const std::uint64_t offset = appendPublish(section, sectionVersions_[section], text);
    sectionVersions_[section] = offset;
    return offset;
}

std::uint64_t TestFleet::sectionVersion(const std::string &section) const
{
    return sectionVersions_.at(section);
}

std::string TestFleet::prioritiesSection(std::int64_t level)
{
    return R"({"classes":[{"id":"standard","level":)" + std::to_string(level) + R"(}],"objectives":{"longFirstToken":1,"shortSlowdown":1}})";
}

bool TestFleet::isInForceOnAllVms(std::uint64_t version) const
{
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        if (configVersion(i) < version) {
            return false;
        }
    }
    return true;
}

std::uint64_t TestFleet::publishRequestRateLimit(double requestsPerSecond)
{
    return publish("workspaces", workspacesSection(requestsPerSecond));
}

void TestFleet::setVmList(const std::set<std::string> &leaving)
{
    boost::json::array vms;
    for (const TestEngineOptions &engine : options_.engines) {
        vms.push_back({{"id", engine.id},
                       {"address", engines_.at(engine.id)->address("http")},
                       {"zone", engine.zone},
                       {"role", "endpoint"},
                       {"state", leaving.contains(engine.id) ? "leaving" : "live"}});
    }
    sendRequest({"PUT", platformUrl() + "/v1/vms", {"Content-Type: application/json"}, boost::json::serialize(boost::json::object{{"vms", vms}})});
}

TestResponse TestFleet::sendCompletion(std::size_t index, const std::string &prompt, std::uint64_t maxTokens, const std::vector<std::string> &headers) const
{
    HttpRequest request{"POST", entryUrl(index) + "/v1/completions", {"Content-Type: application/json", std::string("Authorization: Bearer ") + Token}, {}};
    request.headers.insert(request.headers.end(), headers.begin(), headers.end());
    request.body = boost::json::serialize(boost::json::object{{"model", "doc-reader"}, {"prompt", prompt}, {"max_tokens", maxTokens}});
    return sendRequest(request);
}

void TestFleet::injectFault(const std::string &baseUrl, const std::string &body)
{
    const TestResponse response = sendRequest({"POST", baseUrl + "/fault", {"Content-Type: application/json"}, body, std::chrono::milliseconds(2000)});
    if (response.status != 200 && response.status != 204) {
        throw std::runtime_error("the stand-in refused the fault: " + response.body + response.error);
    }
}

bool TestFleet::waitFor(const std::function<bool()> &condition, std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

bool TestFleet::isReady(std::size_t index) const
{
    return sendRequest({"GET", entryUrl(index) + "/readyz", {}, {}, std::chrono::milliseconds(1000)}).status == 200;
}

std::uint64_t TestFleet::configVersion(std::size_t index) const
{
    const TestResponse response
        = sendRequest({"GET", "http://" + vms_.at(index).entry->address("operators") + "/debug/state", {}, {}, std::chrono::milliseconds(1000)});
    const boost::json::value state = parseJson(response.body);
    boost::json::error_code error;
    const boost::json::value *version = state.find_pointer("/view/configVersion", error);
    return version == nullptr ? 0 : version->to_number<std::uint64_t>(error);
}

std::string TestFleet::writeSettings(const std::string &name, const std::string &text) const
{
    std::string path = directory_ + '/' + name + ".json";
    std::ofstream(path) << text;
    return path;
}

std::string TestFleet::endpointsSection() const
{
    boost::json::array endpoints;
    for (const TestEngineOptions &engine : options_.engines) {
        boost::json::object endpoint{{"id", engine.id}, {"address", engines_.at(engine.id)->address("http")}, {"zone", engine.zone}};
        if (engine.isService) {
            endpoint["kind"] = "service";
            endpoint["pathPrefix"] = "/orders";
            endpoint["nonRepeatablePaths"] = boost::json::array{"/orders/place"};
        } else {
            endpoint["model"] = engine.model;
            endpoint["memoryTokens"] = engine.memoryTokens;
        }
        endpoints.push_back(endpoint);
    }
    return boost::json::serialize(boost::json::object{{"endpoints", endpoints}});
}

std::string TestFleet::workspacesSection(double requestsPerSecond) const
{
    boost::json::array models{"doc-reader"};
    for (const TestEngineOptions &engine : options_.engines) {
        if (engine.isService) {
            models.emplace_back("/orders");
            break;
        }
    }
    const boost::json::object mainWorkspace{{"id", "mill"},
                                            {"tokenHashes", boost::json::array{sha256Hex(Token)}},
                                            {"priorityClass", "standard"},
                                            {"models", models},
                                            {"requestsPerSecond", requestsPerSecond},
                                            {"defaultTimeoutMs", 60000},
                                            {"maxTimeoutMs", 120000}};
    const boost::json::object otherWorkspace{{"id", "other"},
                                             {"tokenHashes", boost::json::array{sha256Hex(OtherToken)}},
                                             {"priorityClass", "standard"},
                                             {"models", boost::json::array{}},
                                             {"defaultTimeoutMs", 60000},
                                             {"maxTimeoutMs", 120000}};
    return boost::json::serialize(boost::json::object{{"workspaces", boost::json::array{mainWorkspace, otherWorkspace}}});
}

std::string testPrompt(std::uint64_t tokens, const std::string &name)
{
    constexpr std::size_t bytesPerToken = 8;
    const std::string end = " document " + name;
    std::string prompt;
    prompt.reserve(tokens * bytesPerToken);
    while (prompt.size() + end.size() < tokens * bytesPerToken) {
        prompt += "invoice ";
    }
    return prompt + end;
}

std::string newIdempotencyKey()
{
    static std::mt19937_64 random{std::random_device{}()};
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    std::array<char, 37> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "%08llx-%04llx-7%03llx-8%03llx-%012llx",
                  static_cast<unsigned long long>(now >> 16),
                  static_cast<unsigned long long>(now & 0xFFFF),
                  static_cast<unsigned long long>(random() & 0xFFF),
                  static_cast<unsigned long long>(random() & 0xFFF),
                  static_cast<unsigned long long>(random() & 0xFFFFFFFFFFFF));
    return text.data();
}

std::string completionText(const TestResponse &response)
{
    return stringAt(parseJson(response.body), "/choices/0/text");
}

std::string errorRunState(const TestResponse &response)
{
    return stringAt(parseJson(response.body), "/error/runState");
}

}
