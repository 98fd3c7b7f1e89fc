#include "entry/entrycommand.h"
#include "entry/entrysettings.h"
#include "entrysupport/rawsocket.h"
#include "entrysupport/scriptedcontrol.h"
#include "entrysupport/scriptedendpoint.h"

#include "lentillock.pb.h"

#include <boost/json/parse.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>

namespace Lentillock
{
namespace
{

using testing::HasSubstr;
using testing::StartsWith;

/// A lentillock-entry process.
class EntryProgram
{
public:
    explicit EntryProgram(std::vector<std::string> arguments)
    {
        std::array<int, 2> output{};
        EXPECT_EQ(pipe(output.data()), 0);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_adddup2(&actions, output[1], STDOUT_FILENO);
        posix_spawn_file_actions_addclose(&actions, output[0]);
        arguments.insert(arguments.begin(), ENTRY_PROGRAM);
        std::vector<char *> pointers;
        pointers.reserve(arguments.size() + 1);
        for (std::string &argument : arguments) {
            pointers.push_back(argument.data());
        }
        pointers.push_back(nullptr);
        EXPECT_EQ(posix_spawn(&pid_, ENTRY_PROGRAM, &actions, nullptr, pointers.data(), environ), 0);
        posix_spawn_file_actions_destroy(&actions);
        close(output[1]);
        output_ = fdopen(output[0], "r");
    }

    ~EntryProgram()
    {
        if (pid_ > 0) {
            kill(pid_, SIGKILL);
            wait();
        }
        fclose(output_);
    }

    EntryProgram(const EntryProgram &) = delete;
    EntryProgram &operator=(const EntryProgram &) = delete;

    std::string readLine()
    {
        std::array<char, 4096> line{};
        return fgets(line.data(), line.size(), output_) == nullptr ? std::string() : std::string(line.data());
    }

    std::string readAll()
    {
        std::string all;
        for (std::string line = readLine(); !line.empty(); line = readLine()) {
            all += line;
        }
        return all;
    }

    void terminate() const
    {
        kill(pid_, SIGTERM);
    }

    int wait()
    {
        int status = 0;
        waitpid(pid_, &status, 0);
        pid_ = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }

private:
    pid_t pid_ = -1;
    FILE *output_ = nullptr;
};

class SettingsFile
{
public:
    explicit SettingsFile(const std::string &text)
        : name_(testing::TempDir() + "entry-settings-" + std::to_string(getpid()) + "-" + std::to_string(++count) + ".json")
    {
        std::ofstream(name_) << text;
    }

    ~SettingsFile()
    {
        unlink(name_.c_str());
    }

    SettingsFile(const SettingsFile &) = delete;
    SettingsFile &operator=(const SettingsFile &) = delete;

    [[nodiscard]] const std::string &name() const
    {
        return name_;
    }

private:
    static inline int count = 0;
    std::string name_;
};

std::string settingsText(const std::string &control, const std::string &extraSettings = {})
{
    return R"({"vm":"vm1","zone":"z1","callers":"127.0.0.1:0","operators":"127.0.0.1:0","grpc":"127.0.0.1:0","controls":[")" + control + "\"]" + extraSettings
        + "}";
}

std::uint16_t portOf(const std::string &addresses, const std::string &name)
{
    const std::string address(boost::json::parse(addresses).at(name).as_string());
    return static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
}

std::string completionRequest(const std::string &headers = {})
{
    const std::string body = R"({"model":"doc-reader","prompt":"p","stream":true})";
    return "POST /v1/completions HTTP/1.1\r\nAuthorization: Bearer secret-a\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

std::string get(std::uint16_t port, const std::string &path)
{
    RawSocket socket = RawSocket::connect(port);
    socket.send("GET " + path + " HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n");
    return socket.readAll(1000ms);
}

bool waitUntilReady(std::uint16_t port)
{
    for (int i = 0; i < 200; ++i) {
        if (get(port, "/readyz").starts_with("HTTP/1.1 200")) {
            return true;
        }
        std::this_thread::sleep_for(20ms);
    }
    return false;
}

TEST(EntryProgramTest, Check_ReportsAllProblemsWithTheirPlaces)
{
    Findings findings;
    EXPECT_FALSE(readEntrySettings(
        R"({"vm":"a/b","callers":"localhost:1","operators":"127.0.0.1:0","grpc":"127.0.0.1:0","controls":["x"],"threads":0,"thread":1})", "file", findings));
    const std::string text = findings.toText();
    for (const char *place : {"#/vm", "#/zone", "#/callers", "#/controls/0", "#/threads", "#/thread:"}) {
        EXPECT_THAT(text, HasSubstr(place));
    }
    EXPECT_THAT(text, testing::Not(HasSubstr("#/operators")));
}

TEST(EntryProgramTest, CommandLine_GivesTheDocumentedExitStatus)
{
    const SettingsFile good(settingsText("127.0.0.1:1"));
    const SettingsFile bad("{}");
    const SettingsFile unavailable(
        R"({"vm":"v","zone":"z","callers":"127.0.0.1:0","operators":"192.0.2.1:1","grpc":"127.0.0.1:0","controls":["127.0.0.1:1"]})");
    EXPECT_EQ(EntryProgram({"--settings", good.name(), "--check"}).wait(), 0);
    EXPECT_EQ(EntryProgram({"--settings", bad.name(), "--check"}).wait(), 1);
    EXPECT_EQ(EntryProgram({"--settings", "/nonexistent"}).wait(), 1);
    EXPECT_EQ(EntryProgram({}).wait(), 2);
    EXPECT_EQ(EntryProgram({"--unknown"}).wait(), 2);
    EXPECT_EQ(EntryProgram({"--settings", unavailable.name()}).wait(), 3);
    EXPECT_THAT(EntryProgram({"--version"}).readAll(), StartsWith("lentillock-entry "));
    EXPECT_EQ(EntryProgram({"--help"}).readAll(), EntryCommand::helpText());
}

// Guards against a manual page that lacks an option or setting or describes one differently.
TEST(EntryProgramTest, ManualPage_NamesEachOptionAndSetting)
{
    std::ifstream file(MANUAL_PAGE);
    std::ostringstream page;
    page << file.rdbuf();
    for (const char *option : {"--help", "--version", "--settings", "--check"}) {
        EXPECT_THAT(page.str(), HasSubstr(std::string("`") + option));
        EXPECT_THAT(EntryCommand::helpText(), HasSubstr(option));
    }
    for (const TextSetting &setting : entryTextSettings()) {
        EXPECT_THAT(page.str(), HasSubstr(std::string("| `") + setting.name + "` | " + (setting.required ? "yes" : "no") + " | " + setting.description + " |"));
        EXPECT_THAT(EntryCommand::helpText(), HasSubstr(std::string("  ") + setting.name + (setting.required ? " (required): " : ": ") + setting.description));
    }
    for (const NumberSetting &setting : entryNumberSettings()) {
        std::ostringstream row;
        row << "| `" << setting.name << "` | " << setting.unit << " | " << setting.defaultValue << " | " << setting.minimum << " to " << setting.maximum
            << " | " << setting.description << " |";
        EXPECT_THAT(page.str(), HasSubstr(row.str()));
        EXPECT_THAT(EntryCommand::helpText(), HasSubstr(setting.description));
    }
}

class RunningEntryTest : public testing::Test
{
protected:
    void start(const std::string &extraSettings = ",\"drainDelayMs\":100")
    {
        endpoint_ = std::make_unique<ScriptedEndpoint>([this](RawSocket &connection, const ScriptedEndpoint::Request &request) {
            if (!request.head.starts_with("POST /v1/completions")) {
                connection.send(ScriptedEndpoint::json(200, R"({"state":"running","position":1})"));
                return false;
            }
            connection.send(ScriptedEndpoint::streamHead() + ScriptedEndpoint::event(0, 1, "first"));
            while (holdResponses_) {
                std::this_thread::sleep_for(5ms);
            }
            connection.send(ScriptedEndpoint::event(1, 1, "second") + ScriptedEndpoint::endEvent(2));
            return false;
        });
        control_ = std::make_unique<ScriptedControl>(
            ScriptedControl::View{.configVersion = 1, .sections = smallDocument(endpoint_->address()), .liveEndpoints = {"e1"}});
        settings_ = std::make_unique<SettingsFile>(settingsText(control_->address(), extraSettings));
        program_ = std::make_unique<EntryProgram>(std::vector<std::string>{"--settings", settings_->name()});
        const std::string addresses = program_->readLine();
        callers_ = portOf(addresses, "callers");
        operators_ = portOf(addresses, "operators");
        ASSERT_TRUE(waitUntilReady(callers_));
    }

    void TearDown() override
    {
        holdResponses_ = false;
        program_.reset();
        control_.reset();
        endpoint_.reset();
    }

    std::atomic<bool> holdResponses_ = false;
    std::unique_ptr<ScriptedEndpoint> endpoint_;
    std::unique_ptr<ScriptedControl> control_;
    std::unique_ptr<SettingsFile> settings_;
    std::unique_ptr<EntryProgram> program_;
    std::uint16_t callers_ = 0;
    std::uint16_t operators_ = 0;
};

TEST_F(RunningEntryTest, Completion_IsRelayed_AndStateAndMetricsAreServed)
{
    start();
    RawSocket caller = RawSocket::connect(callers_);
    caller.send(completionRequest());
    const std::string response = caller.readUntil("0\r\n\r\n");
    EXPECT_THAT(response, HasSubstr("first"));
    EXPECT_THAT(response, HasSubstr("data: [DONE]"));
    EXPECT_THAT(get(operators_, "/metrics"), HasSubstr("lentillock_entry_requests_total{result=\"succeeded\"} 1"));
    EXPECT_THAT(get(operators_, "/debug/state"), HasSubstr("\"configVersion\":1"));
    EXPECT_THAT(get(callers_, "/debug/state"), StartsWith("HTTP/1.1 401"));
}

// Guards against dispatching a non-idempotent request without a claim, and against not recording its outcome.
TEST_F(RunningEntryTest, NonIdempotentRequest_IsClaimedFirstAndItsOutcomeRecorded)
{
    start();
    const std::string key = "0192f3a0-1c2d-7abc-8def-0123456789ab";
    RawSocket caller = RawSocket::connect(callers_);
    caller.send(completionRequest("Lentillock-Idempotent: false\r\nIdempotency-Key: " + key + "\r\n"));
    EXPECT_THAT(caller.readUntil("0\r\n\r\n"), HasSubstr("data: [DONE]"));
    EXPECT_THAT(control_->calls(), testing::Contains("Claim " + key));
    for (int i = 0; i < 200 && control_->calls().back() != "RecordOutcome " + key + " RUN_STATE_RAN"; ++i) {
        std::this_thread::sleep_for(10ms);
    }
    EXPECT_EQ(control_->calls().back(), "RecordOutcome " + key + " RUN_STATE_RAN");

    control_->setClaimHandler([](const auto &, auto &reply) { reply.set_verdict(lentillock::rpc::CLAIM_VERDICT_LOST); });
    caller.send(completionRequest("Lentillock-Idempotent: false\r\nIdempotency-Key: " + key + "\r\n"));
    EXPECT_THAT(caller.readUntil("}}"), testing::Not(HasSubstr("200 OK")));
    const auto lines = endpoint_->requestLines();
    EXPECT_EQ(std::count(lines.begin(), lines.end(), "POST /v1/completions HTTP/1.1"), 1);
}

// Guards against a planned shutdown that aborts a running request.
TEST_F(RunningEntryTest, Sigterm_RunningStreamFinishes_NewRequestsAreRefusedAsNotRun)
{
    holdResponses_ = true;
    start();
    RawSocket running = RawSocket::connect(callers_);
    running.send(completionRequest());
    EXPECT_THAT(running.readUntil("first"), HasSubstr("first"));
    program_->terminate();
    std::this_thread::sleep_for(50ms);
    EXPECT_THAT(get(callers_, "/readyz"), StartsWith("HTTP/1.1 503"));
    std::this_thread::sleep_for(200ms);
    RawSocket late = RawSocket::connect(callers_);
    late.send(completionRequest());
    EXPECT_THAT(late.readUntil("}}"), HasSubstr("\"runState\":\"was-not-run\""));
    holdResponses_ = false;
    EXPECT_THAT(running.readUntil("0\r\n\r\n"), HasSubstr("data: [DONE]"));
    EXPECT_EQ(program_->wait(), 0);
}

TEST_F(RunningEntryTest, SecondSigterm_EndsRequestsAtOnceWithTheirRunState)
{
    holdResponses_ = true;
    start(",\"drainDelayMs\":10000");
    RawSocket running = RawSocket::connect(callers_);
    running.send(completionRequest());
    EXPECT_THAT(running.readUntil("first"), HasSubstr("first"));
    program_->terminate();
    std::this_thread::sleep_for(100ms);
    const TimePoint start = std::chrono::steady_clock::now();
    program_->terminate();
    const std::string rest = running.readUntil("0\r\n\r\n");
    EXPECT_THAT(rest, HasSubstr("event: error"));
    EXPECT_THAT(rest, HasSubstr("\"runState\":\"unknown\""));
    EXPECT_EQ(program_->wait(), 0);
    EXPECT_LT(std::chrono::steady_clock::now() - start, 2500ms);
}

}
}
