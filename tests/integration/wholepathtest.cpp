#include "integration/testfleet.h"
#include "standins/engine/generatedtext.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <future>

namespace Lentillock
{
namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t CompletionTokens = 64;

std::uint64_t callCountForKey(const TestFleet &fleet, const std::string &engine, const std::string &key)
{
    boost::json::error_code error;
    const boost::json::value calls = boost::json::parse(sendRequest({"GET", fleet.engineUrl(engine) + "/calls", {}, {}}).body, error);
    if (!calls.is_object()) {
        return 0;
    }
    const boost::json::object &keys = calls.at("keys").as_object();
    return keys.contains(key) ? keys.at(key).to_number<std::uint64_t>() : 0;
}

std::size_t requestCount(const TestFleet &fleet, const std::string &engine)
{
    boost::json::error_code error;
    const boost::json::value calls = boost::json::parse(sendRequest({"GET", fleet.engineUrl(engine) + "/calls", {}, {}}).body, error);
    return calls.is_object() ? calls.at("requests").as_object().size() : 0;
}

std::uint64_t freeTokens(const TestFleet &fleet, const std::string &engine)
{
    boost::json::error_code error;
    const boost::json::value load = boost::json::parse(sendRequest({"GET", fleet.engineUrl(engine) + "/v1/load", {}, {}}).body, error);
    return load.is_object() ? load.at("freeTokens").to_number<std::uint64_t>() : 0;
}

std::string expectedText(const std::string &prompt, std::uint64_t tokens)
{
    return generatedText(prompt, 0, tokens);
}

class TwoVmsTest : public testing::Test
{
protected:
    TestFleet fleet_{{}};
};

// Guards against a request path that works only for small bodies, or that mixes up the responses to concurrent requests.
TEST_F(TwoVmsTest, ShortAndLongPrompts_SentThroughBothEntries_AreAnsweredWhole)
{
    const std::string shortPrompt = testPrompt(1000, "short");
    const std::string longPrompt = testPrompt(100'000, "long");
    auto pendingResponse = std::async(std::launch::async, [&] { return fleet_.sendCompletion(0, longPrompt, CompletionTokens); });
    const TestResponse shortResponse = fleet_.sendCompletion(1, shortPrompt, CompletionTokens);
    const TestResponse longResponse = pendingResponse.get();
    ASSERT_EQ(shortResponse.status, 200) << shortResponse.body << shortResponse.error;
    ASSERT_EQ(longResponse.status, 200) << longResponse.body << longResponse.error;
    EXPECT_EQ(completionText(shortResponse), expectedText(shortPrompt, CompletionTokens));
    EXPECT_EQ(completionText(longResponse), expectedText(longPrompt, CompletionTokens));
}

// Guards against a non-idempotent request, such as an issuance, that runs twice when a bank's system sends it through two VMs.
TEST_F(TwoVmsTest, NonIdempotentRequest_SentThroughBothEntries_RunsOnce)
{
    const std::string key = newIdempotencyKey();
    const std::vector<std::string> headers{"Idempotency-Key: " + key, "Lentillock-Idempotent: false"};
    const std::string prompt = testPrompt(1000, "issuance");
    auto pendingFirst = std::async(std::launch::async, [&] { return fleet_.sendCompletion(0, prompt, CompletionTokens, headers); });
    const TestResponse second = fleet_.sendCompletion(1, prompt, CompletionTokens, headers);
    const std::array<TestResponse, 2> responses{pendingFirst.get(), second};
    std::size_t succeeded = 0;
    for (const TestResponse &response : responses) {
        if (response.status == 200) {
            ++succeeded;
        } else {
            EXPECT_EQ(response.status, 409) << response.body;
            EXPECT_NE(errorRunState(response), "was-not-run") << "the key was run by the other request";
        }
    }
    EXPECT_EQ(succeeded, 1U);
    EXPECT_EQ(requestCount(fleet_, "e1") + requestCount(fleet_, "e2"), 1U);
}

// Guards against an entry that depends on the control process of its own VM.
TEST_F(TwoVmsTest, OwnControlProcess_IsKilled_EntryGoesOnWithConfigurationAndClaims)
{
    fleet_.vm(0).control->kill();
    std::this_thread::sleep_for(2s);
    const std::string prompt = testPrompt(1000, "after");
    EXPECT_EQ(fleet_.sendCompletion(0, prompt, CompletionTokens).status, 200);
    const TestResponse nonIdempotentResponse
        = fleet_.sendCompletion(0, prompt, CompletionTokens, {"Idempotency-Key: " + newIdempotencyKey(), "Lentillock-Idempotent: false"});
    EXPECT_EQ(nonIdempotentResponse.status, 200) << nonIdempotentResponse.body;
    const std::uint64_t version = fleet_.publishRequestRateLimit(1000);
    EXPECT_TRUE(TestFleet::waitFor([&] { return fleet_.configVersion(0) >= version; }, 2s));
}

// Guards against an entry that hangs when the control process of its VM is frozen.
TEST_F(TwoVmsTest, OwnControlProcess_IsFrozen_EntryGoesOnWithConfiguration)
{
    fleet_.vm(0).control->signal(SIGSTOP);
    std::this_thread::sleep_for(3s);
    EXPECT_EQ(fleet_.sendCompletion(0, testPrompt(1000, "frozen"), CompletionTokens).status, 200);
    const std::uint64_t version = fleet_.publishRequestRateLimit(1000);
    EXPECT_TRUE(TestFleet::waitFor([&] { return fleet_.configVersion(0) >= version; }, 2s));
    fleet_.vm(0).control->signal(SIGCONT);
}

// Guards against a response that is truncated or has a gap when its engine is killed while generating it.
TEST_F(TwoVmsTest, Engine_IsKilledInMidAnswer_AnswerIsContinuedElsewhere)
{
    const std::string prompt = testPrompt(2000, "continued");
    constexpr std::uint64_t longCompletionTokens = 2000;
    auto pendingResponse = std::async(std::launch::async, [&] { return fleet_.sendCompletion(0, prompt, longCompletionTokens); });
    std::string servingEngine;
    ASSERT_TRUE(TestFleet::waitFor(
        [&] {
            for (const char *engine : {"e1", "e2"}) {
                if (requestCount(fleet_, engine) > 0) {
                    servingEngine = engine;
                }
            }
            return !servingEngine.empty();
        },
        5s));
    std::this_thread::sleep_for(300ms);
    fleet_.engine(servingEngine).kill();
    const TestResponse response = pendingResponse.get();
    ASSERT_EQ(response.status, 200) << response.body << response.error;
    EXPECT_EQ(completionText(response), expectedText(prompt, longCompletionTokens));
}

// Guards against waiting indefinitely on a connection that no longer delivers data because a middlebox has dropped its state.
TEST_F(TwoVmsTest, ConnectionToEngine_GoesSilent_AnswerIsResumedOnNewConnection)
{
    const std::string prompt = testPrompt(2000, "silent");
    constexpr std::uint64_t longCompletionTokens = 1000;
    auto pendingResponse = std::async(std::launch::async, [&] { return fleet_.sendCompletion(0, prompt, longCompletionTokens); });
    std::this_thread::sleep_for(300ms);
    TestFleet::injectFault(fleet_.engineUrl("e1"), R"({"fault":"silence"})");
    TestFleet::injectFault(fleet_.engineUrl("e2"), R"({"fault":"silence"})");
    const TestResponse response = pendingResponse.get();
    ASSERT_EQ(response.status, 200) << response.body << response.error;
    EXPECT_EQ(completionText(response), expectedText(prompt, longCompletionTokens));
    EXPECT_LT(response.totalTime, 15s);
}

// Guards against an entry that learns of leaving endpoints only through the control process of its own VM.
TEST_F(TwoVmsTest, EndpointListedAsLeaving_WithOwnControlProcessDead_GetsNoWorkAfterThreeSeconds)
{
    fleet_.vm(0).control->kill();
    fleet_.setVmList({"e1"});
    std::this_thread::sleep_for(3s);
    const std::size_t requestsBefore = requestCount(fleet_, "e1");
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(fleet_.sendCompletion(0, testPrompt(1000, std::to_string(i)), CompletionTokens).status, 200);
    }
    EXPECT_EQ(requestCount(fleet_, "e1"), requestsBefore);
}

// Guards against an entry that cannot learn of leaving endpoints when no control process is running.
TEST_F(TwoVmsTest, EndpointListedAsLeaving_WithAllControlProcessesDead_GetsNoWorkAfterThreeSeconds)
{
    fleet_.vm(0).control->kill();
    fleet_.vm(1).control->kill();
    std::this_thread::sleep_for(3s);
    fleet_.setVmList({"e1"});
    std::this_thread::sleep_for(3s);
    const std::size_t requestsBefore = requestCount(fleet_, "e1");
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(fleet_.sendCompletion(0, testPrompt(1000, std::to_string(i)), CompletionTokens).status, 200);
    }
    EXPECT_EQ(requestCount(fleet_, "e1"), requestsBefore);
}

// Guards against an incorrect "was-not-run" and against a run without a claim during a log outage.
TEST_F(TwoVmsTest, PlatformOutage_NonIdempotentRequestFailsAsNotRun_OthersAreServed)
{
    TestFleet::injectFault(fleet_.platformUrl(), R"({"fault":"outage","service":"log"})");
    EXPECT_EQ(fleet_.sendCompletion(0, testPrompt(1000, "idempotent"), CompletionTokens).status, 200);
    const std::size_t requestsBefore = requestCount(fleet_, "e1") + requestCount(fleet_, "e2");
    const TestResponse nonIdempotentResponse
        = fleet_.sendCompletion(0,
                                testPrompt(1000, "issuance"),
                                CompletionTokens,
                                {"Idempotency-Key: " + newIdempotencyKey(), "Lentillock-Idempotent: false", "Lentillock-Timeout-Ms: 2000"});
    EXPECT_GE(nonIdempotentResponse.status, 500) << nonIdempotentResponse.body;
    EXPECT_EQ(errorRunState(nonIdempotentResponse), "was-not-run") << nonIdempotentResponse.body;
    EXPECT_LE(nonIdempotentResponse.totalTime, 2250ms);
    EXPECT_EQ(requestCount(fleet_, "e1") + requestCount(fleet_, "e2"), requestsBefore);
}

// Guards against a VM that starts during an outage of the platform's log and serves no requests or uses an old configuration.
TEST_F(TwoVmsTest, PlatformOutage_ControlProcessStartsAgain_TakesConfigurationFromPeer)
{
    const std::uint64_t version = fleet_.publishRequestRateLimit(1000);
    ASSERT_TRUE(TestFleet::waitFor([&] { return fleet_.configVersion(0) >= version && fleet_.configVersion(1) >= version; }, 2s));
    TestFleet::injectFault(fleet_.platformUrl(), R"({"fault":"outage","service":"log"})");
    fleet_.vm(0).control->kill();
    fleet_.startControl(0);
    fleet_.vm(0).entry->kill();
    fleet_.startEntry(0);
    ASSERT_TRUE(TestFleet::waitFor([&] { return fleet_.isReady(0); }, 10s));
    EXPECT_GE(fleet_.configVersion(0), version);
    EXPECT_EQ(fleet_.sendCompletion(0, testPrompt(1000, "outage"), CompletionTokens).status, 200);
}

// Guards against a shutdown that truncates a response, and against a process that does not exit after its last response.
TEST_F(TwoVmsTest, Entry_IsStoppedInMidAnswer_FinishesAnswerThenExits)
{
    const std::string prompt = testPrompt(2000, "stopped");
    constexpr std::uint64_t longCompletionTokens = 2000;
    auto pendingResponse = std::async(std::launch::async, [&] { return fleet_.sendCompletion(0, prompt, longCompletionTokens); });
    std::this_thread::sleep_for(300ms);
    fleet_.vm(0).entry->signal(SIGTERM);
    EXPECT_TRUE(TestFleet::waitFor([&] { return !fleet_.isReady(0); }, 400ms));
    const TestResponse response = pendingResponse.get();
    ASSERT_EQ(response.status, 200) << response.body << response.error;
    EXPECT_EQ(completionText(response), expectedText(prompt, longCompletionTokens));
    EXPECT_EQ(fleet_.vm(0).entry->waitForExit(10s), 0);
}

class GroupTest : public testing::Test
{
protected:
    TestFleet fleet_{{.vms = 2, .engineSpeed = 50, .engines = {{"e1", "z1"}, {"e2", "z1"}, {"e3", "z1"}}}};

    bool isAllMemoryFree() const
    {
        for (const char *engine : {"e1", "e2", "e3"}) {
            if (freeTokens(fleet_, engine) != 400'000) {
                return false;
            }
        }
        return true;
    }
};

// Guards against rejecting the longest prompts, which need more than twice the memory of one engine.
TEST_F(GroupTest, PromptOfMoreThanTwoEngines_IsSent_IsAnsweredAndMemoryIsReleased)
{
    const std::string prompt = testPrompt(1'000'000, "bundle");
    const TestResponse response = fleet_.sendCompletion(0, prompt, CompletionTokens, {"Lentillock-Timeout-Ms: 60000"});
    ASSERT_EQ(response.status, 200) << response.body << response.error;
    EXPECT_EQ(completionText(response), expectedText(prompt, CompletionTokens));
    EXPECT_TRUE(TestFleet::waitFor([this] { return isAllMemoryFree(); }, 5s));
}

// Guards against engine memory that stays reserved permanently after an entry was killed.
TEST_F(GroupTest, Entry_IsKilledWhileGroupIsReserved_MemoryIsReleasedWithinStatedTime)
{
    const std::string prompt = testPrompt(1'000'000, "lost");
    constexpr auto timeout = 8s;
    auto pendingResponse = std::async(std::launch::async, [&] { return fleet_.sendCompletion(0, prompt, 4000, {"Lentillock-Timeout-Ms: 8000"}); });
    ASSERT_TRUE(TestFleet::waitFor([this] { return !isAllMemoryFree(); }, timeout));
    fleet_.vm(0).entry->kill();
    pendingResponse.get();
    // Reserved memory is released no later than 15 s after the deadline of the request.
    EXPECT_TRUE(TestFleet::waitFor([this] { return isAllMemoryFree(); }, timeout + 15s));
}

class ServiceTest : public testing::Test
{
protected:
    TestFleet fleet_{{.vms = 2, .engines = {{"e1", "z1"}, {"s1", "z1", "", 0, true}, {"s2", "z2", "", 0, true}}}};

    TestResponse placeOrder(std::size_t index, const std::string &key) const
    {
        return sendRequest({"POST",
                            fleet_.entryUrl(index) + "/orders/place",
                            {std::string("Authorization: Bearer ") + TestFleet::Token, "Content-Type: application/json", "Idempotency-Key: " + key},
                            R"({"order":7})"});
    }
};

// Guards against an order that is placed twice at a service whose calls must not be repeated.
TEST_F(ServiceTest, OrderPlacement_SentThroughBothEntries_RunsOnce)
{
    const std::string key = newIdempotencyKey();
    auto pendingFirst = std::async(std::launch::async, [&] { return placeOrder(0, key); });
    const TestResponse second = placeOrder(1, key);
    const TestResponse firstResponse = pendingFirst.get();
    EXPECT_EQ((firstResponse.status == 200 ? 1 : 0) + (second.status == 200 ? 1 : 0), 1) << firstResponse.body << second.body;
    EXPECT_EQ(callCountForKey(fleet_, "s1", key) + callCountForKey(fleet_, "s2", key), 1U);
}

class RollingRestartTest : public testing::Test
{
protected:
    TestFleet fleet_{{.vms = 7, .engineSpeed = 20, .engines = {{"e1", "z1"}, {"e2", "z2"}, {"e3", "z3"}}}};
};

// Guards against a rolling restart that loses a request. The callers skip VMs that are not ready, as the load balancer does.
TEST_F(RollingRestartTest, AllVms_AreRestartedUnderLoad_NoRequestIsLost)
{
    std::atomic<bool> stop{false};
    std::atomic<std::size_t> correctResponses{0};
    std::mutex mutex;
    std::vector<std::string> failures;
    std::array<std::atomic<bool>, 7> ready{};
    std::fill(ready.begin(), ready.end(), true);
    const std::string prompt = testPrompt(1000, "rolling");
    std::vector<std::thread> callers;
    for (std::size_t caller = 0; caller < 4; ++caller) {
        callers.emplace_back([&, caller] {
            std::size_t index = caller;
            while (!stop) {
                index = (index + 1) % 7;
                if (!ready.at(index)) {
                    continue;
                }
                const TestResponse response = fleet_.sendCompletion(index, prompt, 32);
                if (response.status == 200 && completionText(response) == expectedText(prompt, 32)) {
                    ++correctResponses;
                } else {
                    const std::lock_guard lock(mutex);
                    failures.push_back("vm" + std::to_string(index + 1) + ": " + std::to_string(response.status) + ' ' + response.error + ' ' + response.body);
                }
            }
        });
    }
    for (std::size_t index = 0; index < 7; ++index) {
        TestFleet::Vm &vm = fleet_.vm(index);
        vm.entry->signal(SIGTERM);
        // The load balancer detects the shutdown with a delay; the entry goes on accepting requests for drainDelayMs (500 ms here).
        std::this_thread::sleep_for(100ms);
        ready.at(index) = false;
        EXPECT_EQ(vm.entry->waitForExit(15s), 0);
        vm.control->signal(SIGTERM);
        EXPECT_EQ(vm.control->waitForExit(15s), 0);
        fleet_.startControl(index);
        fleet_.startEntry(index);
        ASSERT_TRUE(TestFleet::waitFor([&] { return fleet_.isReady(index); }, 10s));
        ready.at(index) = true;
    }
    stop = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    EXPECT_GT(correctResponses, 50U);
    EXPECT_TRUE(failures.empty()) << failures.size() << " failed, first: " << failures.front();
}

}
}
