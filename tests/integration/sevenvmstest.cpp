#include "integration/testfleet.h"
#include "standins/engine/generatedtext.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <future>
#include <thread>

namespace Lentillock
{
namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t CompletionTokens = 32;

/// Target for the current fleet size; see section 1.2 of the design page.
constexpr auto PropagationTimeLimit = 2s;

class SevenVmsTest : public testing::Test
{
protected:
    explicit SevenVmsTest(std::size_t retentionRecords = 1'000'000)
        : fleet_({.vms = 7, .engineSpeed = 20, .logRetentionRecords = retentionRecords, .engines = {{"e1", "z1"}, {"e2", "z2"}, {"e3", "z3"}}})
    {
    }

    std::uint64_t runCountForKey(const std::string &key) const
    {
        std::uint64_t runs = 0;
        for (const char *engine : {"e1", "e2", "e3"}) {
            const boost::json::value calls = boost::json::parse(sendRequest({"GET", fleet_.engineUrl(engine) + "/calls", {}, {}}).body);
            const boost::json::object &keys = calls.at("keys").as_object();
            runs += keys.contains(key) ? keys.at(key).to_number<std::uint64_t>() : 0;
        }
        return runs;
    }

    std::vector<TestResponse> sendToAllVms(const std::string &key, const std::string &prompt) const
    {
        const std::vector<std::string> headers{"Idempotency-Key: " + key, "Lentillock-Idempotent: false", "Lentillock-Timeout-Ms: 8000"};
        std::vector<std::future<TestResponse>> pendingResponses;
        pendingResponses.reserve(fleet_.vmCount());
        for (std::size_t vm = 0; vm < fleet_.vmCount(); ++vm) {
            pendingResponses.push_back(
                std::async(std::launch::async, [this, vm, &prompt, headers] { return fleet_.sendCompletion(vm, prompt, CompletionTokens, headers); }));
        }
        std::vector<TestResponse> responses;
        responses.reserve(pendingResponses.size());
        for (std::future<TestResponse> &pending : pendingResponses) {
            responses.push_back(pending.get());
        }
        return responses;
    }

    TestFleet fleet_;
};

// Guards against a VM that still uses an old configuration two seconds after a publish.
TEST_F(SevenVmsTest, Section_IsPublished_IsInForceOnAllVmsWithinTwoSeconds)
{
    for (std::int64_t level = 2; level < 7; ++level) {
        const std::uint64_t version = fleet_.publish("priorities", TestFleet::prioritiesSection(level));
        EXPECT_TRUE(TestFleet::waitFor([&] { return fleet_.isInForceOnAllVms(version); }, PropagationTimeLimit));
    }
}

// Guards against VMs that resolve concurrent edits of two operators differently, and against the later edit overwriting the earlier one.
TEST_F(SevenVmsTest, TwoOperators_EditTheSameVersion_FirstIsInForceOnAllVms)
{
    const std::uint64_t base = fleet_.sectionVersion("priorities");
    const std::uint64_t first = fleet_.appendPublish("priorities", base, TestFleet::prioritiesSection(2));
    const std::uint64_t second = fleet_.appendPublish("priorities", base, TestFleet::prioritiesSection(3));
    ASSERT_LT(first, second);
    EXPECT_TRUE(TestFleet::waitFor([&] { return fleet_.isInForceOnAllVms(first); }, PropagationTimeLimit));
    std::this_thread::sleep_for(500ms);
    for (std::size_t vm = 0; vm < fleet_.vmCount(); ++vm) {
        EXPECT_EQ(fleet_.configVersion(vm), first);
    }
}

// Guards against a non-idempotent request that runs twice when all VMs receive its key while responses to log appends are lost
// and control processes are killed.
TEST_F(SevenVmsTest, OneKey_SentThroughAllVmsUnderFaults_RunsAtMostOnce)
{
    for (int round = 0; round < 6; ++round) {
        const std::string key = newIdempotencyKey();
        const std::string prompt = testPrompt(1000, "round " + std::to_string(round));
        TestFleet::injectFault(fleet_.platformUrl(), R"({"service":"log","fault":"loseAnswers","count":2})");
        std::thread killThread([this, round] {
            std::this_thread::sleep_for(20ms);
            if (round % 2 == 1) {
                fleet_.vm(static_cast<std::size_t>(round)).control->kill();
            }
        });
        const std::vector<TestResponse> responses = sendToAllVms(key, prompt);
        killThread.join();
        std::size_t succeeded = 0;
        for (const TestResponse &response : responses) {
            if (response.status == 200) {
                ++succeeded;
                EXPECT_EQ(completionText(response), generatedText(prompt, 0, CompletionTokens));
            }
        }
        EXPECT_LE(succeeded, 1U);
        EXPECT_LE(runCountForKey(key), 1U);
        EXPECT_EQ(runCountForKey(key), succeeded) << "a run without a successful answer, although no engine failed";
    }
}

// Guards against a response after the caller's timeout when the endpoints and the control process of the VM are frozen.
TEST_F(SevenVmsTest, EnginesAndControlProcess_AreFrozen_CallerIsAnsweredWithinItsTime)
{
    constexpr auto timeout = 3000ms;
    constexpr auto tolerance = 250ms;
    for (const char *engine : {"e1", "e2", "e3"}) {
        TestFleet::injectFault(fleet_.engineUrl(engine), R"({"fault":"freeze"})");
    }
    fleet_.vm(0).control->signal(SIGSTOP);
    const TestResponse idempotentResponse = fleet_.sendCompletion(0, testPrompt(1000, "frozen"), CompletionTokens, {"Lentillock-Timeout-Ms: 3000"});
    const TestResponse nonIdempotentResponse
        = fleet_.sendCompletion(0,
                                testPrompt(1000, "frozen issuance"),
                                CompletionTokens,
                                {"Lentillock-Timeout-Ms: 3000", "Lentillock-Idempotent: false", "Idempotency-Key: " + newIdempotencyKey()});
    for (const TestResponse &response : {idempotentResponse, nonIdempotentResponse}) {
        EXPECT_GE(response.status, 500) << response.body << response.error;
        EXPECT_LE(response.totalTime, timeout + tolerance);
        EXPECT_FALSE(errorRunState(response).empty()) << response.body;
    }
    fleet_.vm(0).control->signal(SIGCONT);
}

// Guards against the loss of one availability zone causing failures in the others.
TEST_F(SevenVmsTest, AvailabilityZone_IsLost_OtherZonesGoOn)
{
    fleet_.engine("e1").kill();
    for (const std::size_t vm : {0, 3, 6}) {
        fleet_.vm(vm).control->kill();
        fleet_.vm(vm).entry->kill();
    }
    std::size_t correctResponses = 0;
    for (int i = 0; i < 40; ++i) {
        const std::string prompt = testPrompt(1000, "zone " + std::to_string(i));
        const TestResponse response = fleet_.sendCompletion(i % 2 == 0 ? 1 : 4, prompt, CompletionTokens);
        correctResponses += response.status == 200 && completionText(response) == generatedText(prompt, 0, CompletionTokens) ? 1 : 0;
    }
    EXPECT_EQ(correctResponses, 40U);
}

class ShortRetentionTest : public SevenVmsTest
{
protected:
    static constexpr std::size_t RetentionRecords = 1000; ///< The minimum that lentillock-control accepts.

    ShortRetentionTest()
        : SevenVmsTest(RetentionRecords)
    {
    }
};

// Guards against a configuration that is lost or reverts to an older version when its log records have expired and all VMs are
// replaced during a log outage.
TEST_F(ShortRetentionTest, RecordsHaveExpired_AllVmsAreReplacedDuringOutage_ConfigurationStays)
{
    std::uint64_t version = 0;
    constexpr std::size_t changesPerBatch = 50;
    for (std::size_t change = 1; change <= RetentionRecords + 2 * changesPerBatch; ++change) {
        version = fleet_.publish("priorities", TestFleet::prioritiesSection(static_cast<std::int64_t>(change % 9 + 1)));
        if (change % changesPerBatch == 0) {
            ASSERT_TRUE(TestFleet::waitFor([&] { return fleet_.configVersion(0) >= version; }, PropagationTimeLimit)) << "change " << change;
        }
    }
    ASSERT_TRUE(TestFleet::waitFor([&] { return fleet_.isInForceOnAllVms(version); }, PropagationTimeLimit));
    TestFleet::injectFault(fleet_.platformUrl(), R"({"service":"log","fault":"outage"})");
    for (std::size_t vm = 0; vm < fleet_.vmCount(); ++vm) {
        fleet_.vm(vm).entry->kill();
        fleet_.vm(vm).control->kill();
        fleet_.startControl(vm);
        fleet_.startEntry(vm);
        ASSERT_TRUE(TestFleet::waitFor([&] { return fleet_.isReady(vm); }, 10s)) << "VM " << vm;
        EXPECT_GE(fleet_.configVersion(vm), version) << "VM " << vm;
    }
    EXPECT_EQ(fleet_.sendCompletion(6, testPrompt(1000, "after"), CompletionTokens).status, 200);
    TestFleet::injectFault(fleet_.platformUrl(), R"({"service":"log","fault":"none"})");
    const std::uint64_t laterVersion = fleet_.publish("priorities", TestFleet::prioritiesSection(5));
    EXPECT_TRUE(TestFleet::waitFor([&] { return fleet_.isInForceOnAllVms(laterVersion); }, 5s));
}

}
}
