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

constexpr std::uint64_t AnswerTokens = 64;

std::uint64_t callsOfKey(const TestFleet &fleet, const std::string &engine, const std::string &key)
{
    boost::json::error_code error;
    const boost::json::value calls = boost::json::parse(sendRequest({"GET", fleet.engineUrl(engine) + "/calls", {}, {}}).body, error);
    if (!calls.is_object()) {
        return 0;
    }
    const boost::json::object &keys = calls.at("keys").as_object();
    return keys.contains(key) ? keys.at(key).to_number<std::uint64_t>() : 0;
}

std::size_t requestsOf(const TestFleet &fleet, const std::string &engine)
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

// Guards against a path that works only for small bodies, or that mixes up answers of concurrent requests.
TEST_F(TwoVmsTest, ShortAndLongPrompts_SentThroughBothEntries_AreAnsweredWhole)
{
    const std::string shortPrompt = testPrompt(1000, "short");
    const std::string longPrompt = testPrompt(100'000, "long");
    auto answer = std::async(std::launch::async, [&] { return fleet_.complete(0, longPrompt, AnswerTokens); });
    const HttpAnswer shortAnswer = fleet_.complete(1, shortPrompt, AnswerTokens);
    const HttpAnswer longAnswer = answer.get();
    ASSERT_EQ(shortAnswer.status, 200) << shortAnswer.body << shortAnswer.error;
    ASSERT_EQ(longAnswer.status, 200) << longAnswer.body << longAnswer.error;
    EXPECT_EQ(answerText(shortAnswer), expectedText(shortPrompt, AnswerTokens));
    EXPECT_EQ(answerText(longAnswer), expectedText(longPrompt, AnswerTokens));
}

// Guards against a doubled issuance when a bank's system sends the same request through two VMs.
TEST_F(TwoVmsTest, NonIdempotentRequest_SentThroughBothEntries_RunsOnce)
{
    const std::string key = newIdempotencyKey();
    const std::vector<std::string> headers{"Idempotency-Key: " + key, "Lentillock-Idempotent: false"};
    const std::string prompt = testPrompt(1000, "issuance");
    auto first = std::async(std::launch::async, [&] { return fleet_.complete(0, prompt, AnswerTokens, headers); });
    const HttpAnswer second = fleet_.complete(1, prompt, AnswerTokens, headers);
    const std::array<HttpAnswer, 2> answers{first.get(), second};
    std::size_t succeeded = 0;
    for (const HttpAnswer &answer : answers) {
        if (answer.status == 200) {
            ++succeeded;
        } else {
            EXPECT_EQ(answer.status, 409) << answer.body;
            EXPECT_NE(errorRunState(answer), "was-not-run") << "the key was run by the other request";
        }
    }
    EXPECT_EQ(succeeded, 1U);
    EXPECT_EQ(requestsOf(fleet_, "e1") + requestsOf(fleet_, "e2"), 1U);
}

// Guards against an entry that depends on the control process of its own VM.
TEST_F(TwoVmsTest, OwnControlProcess_IsKilled_EntryGoesOnWithConfigurationAndClaims)
{
    fleet_.vm(0).control->kill();
    std::this_thread::sleep_for(2s);
    const std::string prompt = testPrompt(1000, "after");
    EXPECT_EQ(fleet_.complete(0, prompt, AnswerTokens).status, 200);
    const HttpAnswer issuance = fleet_.complete(0, prompt, AnswerTokens, {"Idempotency-Key: " + newIdempotencyKey(), "Lentillock-Idempotent: false"});
    EXPECT_EQ(issuance.status, 200) << issuance.body;
    const std::uint64_t version = fleet_.publishLimit(1000);
    EXPECT_TRUE(TestFleet::waitFor([&] { return fleet_.configVersion(0) >= version; }, 2s));
}

// Guards against a process that hangs together with a paused control process.
TEST_F(TwoVmsTest, OwnControlProcess_IsFrozen_EntryGoesOnWithConfiguration)
{
    fleet_.vm(0).control->signal(SIGSTOP);
    std::this_thread::sleep_for(3s);
    EXPECT_EQ(fleet_.complete(0, testPrompt(1000, "frozen"), AnswerTokens).status, 200);
    const std::uint64_t version = fleet_.publishLimit(1000);
    EXPECT_TRUE(TestFleet::waitFor([&] { return fleet_.configVersion(0) >= version; }, 2s));
    fleet_.vm(0).control->signal(SIGCONT);
}

// Guards against an answer that is cut off, or has a gap, when its engine dies in mid-answer.
TEST_F(TwoVmsTest, Engine_IsKilledInMidAnswer_AnswerIsContinuedElsewhere)
{
    const std::string prompt = testPrompt(2000, "continued");
    constexpr std::uint64_t longAnswerTokens = 2000;
    auto answer = std::async(std::launch::async, [&] { return fleet_.complete(0, prompt, longAnswerTokens); });
    std::string used;
    ASSERT_TRUE(TestFleet::waitFor(
        [&] {
            for (const char *engine : {"e1", "e2"}) {
                if (requestsOf(fleet_, engine) > 0) {
                    used = engine;
                }
            }
            return !used.empty();
        },
        5s));
    std::this_thread::sleep_for(300ms);
    fleet_.engine(used).kill();
    const HttpAnswer whole = answer.get();
    ASSERT_EQ(whole.status, 200) << whole.body << whole.error;
    EXPECT_EQ(answerText(whole), expectedText(prompt, longAnswerTokens));
}

// Guards against waiting on a connection whose state a middlebox has dropped.
TEST_F(TwoVmsTest, ConnectionToEngine_GoesSilent_AnswerIsResumedOnNewConnection)
{
    const std::string prompt = testPrompt(2000, "silent");
    constexpr std::uint64_t longAnswerTokens = 1000;
    auto answer = std::async(std::launch::async, [&] { return fleet_.complete(0, prompt, longAnswerTokens); });
    std::this_thread::sleep_for(300ms);
    TestFleet::fault(fleet_.engineUrl("e1"), R"({"fault":"silence"})");
    TestFleet::fault(fleet_.engineUrl("e2"), R"({"fault":"silence"})");
    const HttpAnswer whole = answer.get();
    ASSERT_EQ(whole.status, 200) << whole.body << whole.error;
    EXPECT_EQ(answerText(whole), expectedText(prompt, longAnswerTokens));
    EXPECT_LT(whole.total, 15s);
}

// Guards against an entry that learns of leaving endpoints only through its own control process.
TEST_F(TwoVmsTest, EndpointListedAsLeaving_WithOwnControlProcessDead_GetsNoWorkAfterThreeSeconds)
{
    fleet_.vm(0).control->kill();
    fleet_.setVmList({"e1"});
    std::this_thread::sleep_for(3s);
    const std::size_t before = requestsOf(fleet_, "e1");
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(fleet_.complete(0, testPrompt(1000, std::to_string(i)), AnswerTokens).status, 200);
    }
    EXPECT_EQ(requestsOf(fleet_, "e1"), before);
}

// Guards against an entry that cannot learn of leaving endpoints when every control process is dead.
TEST_F(TwoVmsTest, EndpointListedAsLeaving_WithAllControlProcessesDead_GetsNoWorkAfterThreeSeconds)
{
    fleet_.vm(0).control->kill();
    fleet_.vm(1).control->kill();
    std::this_thread::sleep_for(3s);
    fleet_.setVmList({"e1"});
    std::this_thread::sleep_for(3s);
    const std::size_t before = requestsOf(fleet_, "e1");
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(fleet_.complete(0, testPrompt(1000, std::to_string(i)), AnswerTokens).status, 200);
    }
    EXPECT_EQ(requestsOf(fleet_, "e1"), before);
}

// Guards against a false "was not run" and against a run without a claim while the log is down.
TEST_F(TwoVmsTest, PlatformOutage_NonIdempotentRequestFailsAsNotRun_OthersAreServed)
{
    TestFleet::fault(fleet_.platformUrl(), R"({"fault":"outage","service":"log"})");
    EXPECT_EQ(fleet_.complete(0, testPrompt(1000, "idempotent"), AnswerTokens).status, 200);
    const std::size_t before = requestsOf(fleet_, "e1") + requestsOf(fleet_, "e2");
    const HttpAnswer issuance = fleet_.complete(0,
                                                testPrompt(1000, "issuance"),
                                                AnswerTokens,
                                                {"Idempotency-Key: " + newIdempotencyKey(), "Lentillock-Idempotent: false", "Lentillock-Timeout-Ms: 2000"});
    EXPECT_GE(issuance.status, 500) << issuance.body;
    EXPECT_EQ(errorRunState(issuance), "was-not-run") << issuance.body;
    EXPECT_LE(issuance.total, 2250ms);
    EXPECT_EQ(requestsOf(fleet_, "e1") + requestsOf(fleet_, "e2"), before);
}

// Guards against a VM that starts during an outage of the platform and serves nothing, or an old configuration.
TEST_F(TwoVmsTest, PlatformOutage_ControlProcessStartsAgain_TakesConfigurationFromPeer)
{
    const std::uint64_t version = fleet_.publishLimit(1000);
    ASSERT_TRUE(TestFleet::waitFor([&] { return fleet_.configVersion(0) >= version && fleet_.configVersion(1) >= version; }, 2s));
    TestFleet::fault(fleet_.platformUrl(), R"({"fault":"outage","service":"log"})");
    fleet_.vm(0).control->kill();
    fleet_.startControl(0);
    fleet_.vm(0).entry->kill();
    fleet_.startEntry(0);
    ASSERT_TRUE(TestFleet::waitFor([&] { return fleet_.isReady(0); }, 10s));
    EXPECT_GE(fleet_.configVersion(0), version);
    EXPECT_EQ(fleet_.complete(0, testPrompt(1000, "outage"), AnswerTokens).status, 200);
}

// Guards against a stop that cuts off an answer, or that keeps the process alive after its last answer.
TEST_F(TwoVmsTest, Entry_IsStoppedInMidAnswer_FinishesAnswerThenExits)
{
    const std::string prompt = testPrompt(2000, "stopped");
    constexpr std::uint64_t longAnswerTokens = 2000;
    auto answer = std::async(std::launch::async, [&] { return fleet_.complete(0, prompt, longAnswerTokens); });
    std::this_thread::sleep_for(300ms);
    fleet_.vm(0).entry->signal(SIGTERM);
    EXPECT_TRUE(TestFleet::waitFor([&] { return !fleet_.isReady(0); }, 400ms));
    const HttpAnswer whole = answer.get();
    ASSERT_EQ(whole.status, 200) << whole.body << whole.error;
    EXPECT_EQ(answerText(whole), expectedText(prompt, longAnswerTokens));
    EXPECT_EQ(fleet_.vm(0).entry->waitForExit(10s), 0);
}

class GroupTest : public testing::Test
{
protected:
    TestFleet fleet_{{.vms = 2, .engineSpeed = 50, .engines = {{"e1", "z1"}, {"e2", "z1"}, {"e3", "z1"}}}};

    bool memoryIsFree() const
    {
        for (const char *engine : {"e1", "e2", "e3"}) {
            if (freeTokens(fleet_, engine) != 400'000) {
                return false;
            }
        }
        return true;
    }
};

// Guards against refusing the longest prompts, which need more than twice the memory of one engine.
TEST_F(GroupTest, PromptOfMoreThanTwoEngines_IsSent_IsAnsweredAndMemoryIsReleased)
{
    const std::string prompt = testPrompt(1'000'000, "bundle");
    const HttpAnswer answer = fleet_.complete(0, prompt, AnswerTokens, {"Lentillock-Timeout-Ms: 60000"});
    ASSERT_EQ(answer.status, 200) << answer.body << answer.error;
    EXPECT_EQ(answerText(answer), expectedText(prompt, AnswerTokens));
    EXPECT_TRUE(TestFleet::waitFor([this] { return memoryIsFree(); }, 5s));
}

// Guards against engine memory that stays reserved for good after an entry has died.
TEST_F(GroupTest, Entry_IsKilledWhileGroupIsReserved_MemoryIsReleasedWithinStatedTime)
{
    const std::string prompt = testPrompt(1'000'000, "lost");
    constexpr auto timeout = 8s;
    auto answer = std::async(std::launch::async, [&] { return fleet_.complete(0, prompt, 4000, {"Lentillock-Timeout-Ms: 8000"}); });
    ASSERT_TRUE(TestFleet::waitFor([this] { return !memoryIsFree(); }, timeout));
    fleet_.vm(0).entry->kill();
    answer.get();
    // Deadline of the request plus 15 s.
    EXPECT_TRUE(TestFleet::waitFor([this] { return memoryIsFree(); }, timeout + 15s));
}

class ServiceTest : public testing::Test
{
protected:
    TestFleet fleet_{{.vms = 2, .engines = {{"e1", "z1"}, {"s1", "z1", "", 0, true}, {"s2", "z2", "", 0, true}}}};

    HttpAnswer place(std::size_t index, const std::string &key) const
    {
        return sendRequest({"POST",
                            fleet_.entryUrl(index) + "/orders/place",
                            {std::string("Authorization: Bearer ") + TestFleet::Token, "Content-Type: application/json", "Idempotency-Key: " + key},
                            R"({"order":7})"});
    }
};

// Guards against a doubled order at a plain service whose calls may not be repeated.
TEST_F(ServiceTest, OrderPlacement_SentThroughBothEntries_RunsOnce)
{
    const std::string key = newIdempotencyKey();
    auto first = std::async(std::launch::async, [&] { return place(0, key); });
    const HttpAnswer second = place(1, key);
    const HttpAnswer firstAnswer = first.get();
    EXPECT_EQ((firstAnswer.status == 200 ? 1 : 0) + (second.status == 200 ? 1 : 0), 1) << firstAnswer.body << second.body;
    EXPECT_EQ(callsOfKey(fleet_, "s1", key) + callsOfKey(fleet_, "s2", key), 1U);
}

class RollingRestartTest : public testing::Test
{
protected:
    TestFleet fleet_{{.vms = 7, .engineSpeed = 20, .engines = {{"e1", "z1"}, {"e2", "z2"}, {"e3", "z3"}}}};
};

// Guards against a planned restart that loses a request. Callers avoid a VM that is not ready, as the balancer does.
TEST_F(RollingRestartTest, AllVms_AreRestartedUnderLoad_NoRequestIsLost)
{
    std::atomic<bool> stop{false};
    std::atomic<std::size_t> answered{0};
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
                const HttpAnswer answer = fleet_.complete(index, prompt, 32);
                if (answer.status == 200 && answerText(answer) == expectedText(prompt, 32)) {
                    ++answered;
                } else {
                    const std::lock_guard lock(mutex);
                    failures.push_back("vm" + std::to_string(index + 1) + ": " + std::to_string(answer.status) + ' ' + answer.error + ' ' + answer.body);
                }
            }
        });
    }
    for (std::size_t index = 0; index < 7; ++index) {
        TestFleet::Vm &vm = fleet_.vm(index);
        vm.entry->signal(SIGTERM);
        // The balancer needs some time to notice; the entry goes on serving for drainDelayMs (500 ms here).
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
    EXPECT_GT(answered, 50U);
    EXPECT_TRUE(failures.empty()) << failures.size() << " failed, first: " << failures.front();
}

}
}
