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

constexpr std::uint64_t AnswerTokens = 32;

/// Target for today's size, section 1.2 of the design page.
constexpr auto InForceLimit = 2s;

class SevenVmsTest : public testing::Test
{
protected:
    explicit SevenVmsTest(std::size_t retentionRecords = 1'000'000)
        : fleet_({.vms = 7, .engineSpeed = 20, .logRetentionRecords = retentionRecords, .engines = {{"e1", "z1"}, {"e2", "z2"}, {"e3", "z3"}}})
    {
    }

    std::uint64_t runsOfKey(const std::string &key) const
    {
        std::uint64_t runs = 0;
        for (const char *engine : {"e1", "e2", "e3"}) {
            const boost::json::value calls = boost::json::parse(sendRequest({"GET", fleet_.engineUrl(engine) + "/calls", {}, {}}).body);
            const boost::json::object &keys = calls.at("keys").as_object();
            runs += keys.contains(key) ? keys.at(key).to_number<std::uint64_t>() : 0;
        }
        return runs;
    }

    std::vector<HttpAnswer> sendThroughAllVms(const std::string &key, const std::string &prompt) const
    {
        const std::vector<std::string> headers{"Idempotency-Key: " + key, "Lentillock-Idempotent: false", "Lentillock-Timeout-Ms: 8000"};
        std::vector<std::future<HttpAnswer>> sent;
        sent.reserve(fleet_.vmCount());
        for (std::size_t vm = 0; vm < fleet_.vmCount(); ++vm) {
            sent.push_back(std::async(std::launch::async, [this, vm, &prompt, headers] { return fleet_.complete(vm, prompt, AnswerTokens, headers); }));
        }
        std::vector<HttpAnswer> answers;
        answers.reserve(sent.size());
        for (std::future<HttpAnswer> &answer : sent) {
            answers.push_back(answer.get());
        }
        return answers;
    }

    TestFleet fleet_;
};

// Guards against a VM that serves an old configuration after a publish.
TEST_F(SevenVmsTest, Section_IsPublished_IsInForceOnAllVmsWithinTwoSeconds)
{
    for (std::int64_t level = 2; level < 7; ++level) {
        const std::uint64_t version = fleet_.publish("priorities", TestFleet::prioritiesSection(level));
        EXPECT_TRUE(TestFleet::waitFor([&] { return fleet_.isInForceEverywhere(version); }, InForceLimit));
    }
}

// Guards against VMs that decide differently between two operators, and against the later one overwriting the earlier.
TEST_F(SevenVmsTest, TwoOperators_EditTheSameVersion_FirstIsInForceOnAllVms)
{
    const std::uint64_t base = fleet_.sectionVersion("priorities");
    const std::uint64_t first = fleet_.appendPublish("priorities", base, TestFleet::prioritiesSection(2));
    const std::uint64_t second = fleet_.appendPublish("priorities", base, TestFleet::prioritiesSection(3));
    ASSERT_LT(first, second);
    EXPECT_TRUE(TestFleet::waitFor([&] { return fleet_.isInForceEverywhere(first); }, InForceLimit));
    std::this_thread::sleep_for(500ms);
    for (std::size_t vm = 0; vm < fleet_.vmCount(); ++vm) {
        EXPECT_EQ(fleet_.configVersion(vm), first);
    }
}

// Guards against a doubled issuance when the key arrives at all VMs while appends lose their answers and control processes die.
TEST_F(SevenVmsTest, OneKey_SentThroughAllVmsUnderFaults_RunsAtMostOnce)
{
    for (int round = 0; round < 6; ++round) {
        const std::string key = newIdempotencyKey();
        const std::string prompt = testPrompt(1000, "round " + std::to_string(round));
        TestFleet::fault(fleet_.platformUrl(), R"({"service":"log","fault":"loseAnswers","count":2})");
        std::thread killer([this, round] {
            std::this_thread::sleep_for(20ms);
            if (round % 2 == 1) {
                fleet_.vm(static_cast<std::size_t>(round)).control->kill();
            }
        });
        const std::vector<HttpAnswer> answers = sendThroughAllVms(key, prompt);
        killer.join();
        std::size_t succeeded = 0;
        for (const HttpAnswer &answer : answers) {
            if (answer.status == 200) {
                ++succeeded;
                EXPECT_EQ(answerText(answer), generatedText(prompt, 0, AnswerTokens));
            }
        }
        EXPECT_LE(succeeded, 1U);
        EXPECT_LE(runsOfKey(key), 1U);
        EXPECT_EQ(runsOfKey(key), succeeded) << "a run without an answer, although no engine failed";
    }
}

// Guards against a caller that waits longer than its time when its endpoint and its control process freeze.
TEST_F(SevenVmsTest, EnginesAndControlProcess_AreFrozen_CallerIsAnsweredWithinItsTime)
{
    constexpr auto timeout = 3000ms;
    constexpr auto tolerance = 250ms;
    for (const char *engine : {"e1", "e2", "e3"}) {
        TestFleet::fault(fleet_.engineUrl(engine), R"({"fault":"freeze"})");
    }
    fleet_.vm(0).control->signal(SIGSTOP);
    const HttpAnswer idempotent = fleet_.complete(0, testPrompt(1000, "frozen"), AnswerTokens, {"Lentillock-Timeout-Ms: 3000"});
    const HttpAnswer issuance = fleet_.complete(0,
                                                testPrompt(1000, "frozen issuance"),
                                                AnswerTokens,
                                                {"Lentillock-Timeout-Ms: 3000", "Lentillock-Idempotent: false", "Idempotency-Key: " + newIdempotencyKey()});
    for (const HttpAnswer &answer : {idempotent, issuance}) {
        EXPECT_GE(answer.status, 500) << answer.body << answer.error;
        EXPECT_LE(answer.total, timeout + tolerance);
        EXPECT_FALSE(errorRunState(answer).empty()) << answer.body;
    }
    fleet_.vm(0).control->signal(SIGCONT);
}

// Guards against a lost zone that takes the rest of the fleet with it.
TEST_F(SevenVmsTest, AvailabilityZone_IsLost_OtherZonesGoOn)
{
    fleet_.engine("e1").kill();
    for (const std::size_t vm : {0, 3, 6}) {
        fleet_.vm(vm).control->kill();
        fleet_.vm(vm).entry->kill();
    }
    std::size_t answered = 0;
    for (int i = 0; i < 40; ++i) {
        const std::string prompt = testPrompt(1000, "zone " + std::to_string(i));
        const HttpAnswer answer = fleet_.complete(i % 2 == 0 ? 1 : 4, prompt, AnswerTokens);
        answered += answer.status == 200 && answerText(answer) == generatedText(prompt, 0, AnswerTokens) ? 1 : 0;
    }
    EXPECT_EQ(answered, 40U);
}

class ShortRetentionTest : public SevenVmsTest
{
protected:
    static constexpr std::size_t RetentionRecords = 1000; ///< The least that lentillock-control allows.

    ShortRetentionTest()
        : SevenVmsTest(RetentionRecords)
    {
    }
};

// Guards against a configuration that is lost or goes back when its records have expired and all VMs are replaced during an outage.
TEST_F(ShortRetentionTest, RecordsHaveExpired_AllVmsAreReplacedDuringOutage_ConfigurationStays)
{
    std::uint64_t version = 0;
    constexpr std::size_t changesAtOnce = 50;
    for (std::size_t change = 1; change <= RetentionRecords + 2 * changesAtOnce; ++change) {
        version = fleet_.publish("priorities", TestFleet::prioritiesSection(static_cast<std::int64_t>(change % 9 + 1)));
        if (change % changesAtOnce == 0) {
            ASSERT_TRUE(TestFleet::waitFor([&] { return fleet_.configVersion(0) >= version; }, InForceLimit)) << "change " << change;
        }
    }
    ASSERT_TRUE(TestFleet::waitFor([&] { return fleet_.isInForceEverywhere(version); }, InForceLimit));
    TestFleet::fault(fleet_.platformUrl(), R"({"service":"log","fault":"outage"})");
    for (std::size_t vm = 0; vm < fleet_.vmCount(); ++vm) {
        fleet_.vm(vm).entry->kill();
        fleet_.vm(vm).control->kill();
        fleet_.startControl(vm);
        fleet_.startEntry(vm);
        ASSERT_TRUE(TestFleet::waitFor([&] { return fleet_.isReady(vm); }, 10s)) << "VM " << vm;
        EXPECT_GE(fleet_.configVersion(vm), version) << "VM " << vm;
    }
    EXPECT_EQ(fleet_.complete(6, testPrompt(1000, "after"), AnswerTokens).status, 200);
    TestFleet::fault(fleet_.platformUrl(), R"({"service":"log","fault":"none"})");
    const std::uint64_t later = fleet_.publish("priorities", TestFleet::prioritiesSection(5));
    EXPECT_TRUE(TestFleet::waitFor([&] { return fleet_.isInForceEverywhere(later); }, 5s));
}

}
}
