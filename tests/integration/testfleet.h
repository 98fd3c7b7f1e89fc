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
    double engineSpeed = 10; ///< Model time of the stand-in engines per real time.
    std::size_t logRetentionRecords = 1'000'000;
    std::vector<TestEngineOptions> engines{{"e1", "z1"}, {"e2", "z2"}};
};

/// Processes of one small fleet on loopback: the stand-ins, and an entry and a control process for each VM.
class TestFleet
{
public:
    struct Vm {
        std::unique_ptr<ChildProcess> control;
        std::unique_ptr<ChildProcess> entry;
    };

    /// Starts everything, publishes the document, and waits until all entries are ready.
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

    /// Appends a record of an operator who edited version @p base of @p section; returns its offset.
    std::uint64_t appendPublish(const std::string &section, std::uint64_t base, const std::string &text) const;

    /// Publishes @p text for @p section on its current version; returns the offset.
    std::uint64_t publish(const std::string &section, const std::string &text);

    /// Publishes the workspaces section again with @p requestsPerSecond as the limit of the workspace "mill".
    std::uint64_t publishLimit(double requestsPerSecond);

    [[nodiscard]] std::uint64_t sectionVersion(const std::string &section) const;
    static std::string prioritiesSection(std::int64_t level);

    /// Whether the entries of all VMs have at least configuration @p version in force.
    [[nodiscard]] bool isInForceEverywhere(std::uint64_t version) const;

    /// Sets the platform's VM list; the endpoints in @p leaving are listed as leaving.
    void setVmList(const std::set<std::string> &leaving);

    /// Sends a completion of @p promptTokens tokens through VM @p index.
    HttpAnswer complete(std::size_t index, const std::string &prompt, std::uint64_t maxTokens, const std::vector<std::string> &headers = {}) const;

    /// Posts a fault to a stand-in at @p baseUrl.
    static void fault(const std::string &baseUrl, const std::string &body);

    /// Waits until @p condition holds; returns false after @p timeout.
    static bool waitFor(const std::function<bool()> &condition, std::chrono::milliseconds timeout);

    [[nodiscard]] bool isReady(std::size_t index) const;

    /// The entry's view's configuration version, from its state dump; 0 when it does not answer.
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

/// Text of @p tokens tokens whose end is unique for @p name, so that answers can be told apart.
std::string testPrompt(std::uint64_t tokens, const std::string &name);

/// A UUID of version 7 with the current time.
std::string newIdempotencyKey();

/// The text of a completion's JSON answer; empty when the body has another form.
std::string answerText(const HttpAnswer &answer);

/// The run state that an error body states; empty when the body has another form.
std::string errorRunState(const HttpAnswer &answer);

}
