#pragma once

#include "integration/childprocess.h"
#include "integration/httprequest.h"
#include "platform/httplogservice.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Lentillock
{

struct TestEngineOptions {
    std::string id;
    std::string zone;
    std::string model = "doc-reader";
    std::uint64_t memoryTokens = 400'000;
    bool isService = false;
};

struct TestFleetOptions {
    std::size_t vms = 2;
    double engineSpeed = 10; ///< Ratio of simulated time in the stand-in engines to real time.
    std::size_t logRetentionRecords = 1'000'000;
    std::vector<TestEngineOptions> engines{{"e1", "z1"}, {"e2", "z2"}};
};

/// Runs a small fleet on the loopback interface: the stand-ins, and an entry and a control process for each VM.
class TestFleet
{
public:
    struct Vm {
        std::unique_ptr<ChildProcess> control;
        std::unique_ptr<ChildProcess> entry;
    };

    /// Starts all processes, publishes the configuration, and waits until all entries are ready.
    explicit TestFleet(TestFleetOptions options);
    ~TestFleet();
    TestFleet(const TestFleet &) = delete;
    TestFleet &operator=(const TestFleet &) = delete;

    static constexpr const char *Token = "test-token";
    static constexpr const char *OtherToken = "other-token";

    [[nodiscard]] Vm &vm(std::size_t index);
    [[nodiscard]] std::size_t vmCount() const;
    [[nodiscard]] ChildProcess &engine(const std::string &id);
    [[nodiscard]] ChildProcess &platform();
    [[nodiscard]] std::string engineUrl(const std::string &id) const;
    [[nodiscard]] std::string platformUrl() const;
    [[nodiscard]] std::string entryUrl(std::size_t index) const;

    void startControl(std::size_t index);
    void startEntry(std::size_t index);

    /// Appends a publish record for @p section that is based on version @p baseVersion, and returns its offset.
    std::uint64_t appendPublish(const std::string &section, std::uint64_t baseVersion, const std::string &text) const;

    /// Publishes @p text for @p section, based on its current version, and returns the offset of the record.
    std::uint64_t publish(const std::string &section, const std::string &text);

    /// Publishes the workspaces section with @p requestsPerSecond as the request rate limit of the workspace "mill".
    std::uint64_t publishRequestRateLimit(double requestsPerSecond);

    [[nodiscard]] std::uint64_t sectionVersion(const std::string &section) const;
    static std::string prioritiesSection(std::int64_t level);

    /// Returns whether configuration @p version or a later one is in force in the entries of all VMs.
    [[nodiscard]] bool isInForceOnAllVms(std::uint64_t version) const;

    /// Replaces the platform's VM list; the endpoints in @p leaving get the state "leaving".
    void setVmList(const std::set<std::string> &leaving);

    /// Sends a completion request with @p prompt to the entry of VM @p index.
    TestResponse sendCompletion(std::size_t index, const std::string &prompt, std::uint64_t maxTokens, const std::vector<std::string> &headers = {}) const;

    /// Makes the stand-in at @p baseUrl simulate the fault that @p body describes.
    static void injectFault(const std::string &baseUrl, const std::string &body);

    /// Polls until @p condition holds. Returns false if it does not hold within @p timeout.
    static bool waitFor(const std::function<bool()> &condition, std::chrono::milliseconds timeout);

    [[nodiscard]] bool isReady(std::size_t index) const;

    /// Returns the configuration version in the state dump of the entry of VM @p index, or 0 if the entry does not respond.
    [[nodiscard]] std::uint64_t configVersion(std::size_t index) const;

private:
    std::string writeSettings(const std::string &name, const std::string &text) const;
    std::string endpointsSection() const;
    std::string workspacesSection(double requestsPerSecond) const;

    TestFleetOptions options_;
    std::string directory_;
    std::unique_ptr<ChildProcess> platform_;
    std::map<std::string, std::unique_ptr<ChildProcess>> engines_;
    std::vector<Vm> vms_;
    std::map<std::string, std::uint64_t> sectionVersions_;
};

/// Returns a prompt of about @p tokens tokens that ends with @p name, so that the responses to different prompts differ.
std::string testPrompt(std::uint64_t tokens, const std::string &name);

/// Returns a version 7 UUID with the current time.
std::string newIdempotencyKey();

/// Returns the text of a JSON completion response, or an empty string if the body has another form.
std::string completionText(const TestResponse &response);

/// Returns the run state in an error response, or an empty string if the body has another form.
std::string errorRunState(const TestResponse &response);

}
