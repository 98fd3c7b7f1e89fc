#include "cli/commandline.h"
#include "cli/statestandin.h"
#include "config/configrecord.h"
#include "platform/httplogservice.h"
#include "standins/platform/platformserver.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <regex>
#include <sstream>

namespace Lentillock
{
namespace
{

namespace fs = std::filesystem;

const fs::path CasesDirectory = fs::path(LENTILLOCK_SOURCE_DIR) / "tests/cli/cases";

std::string readFile(const fs::path &path)
{
    std::ifstream stream(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(stream), {}};
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (std::size_t place = text.find(from); place != std::string::npos; place = text.find(from, place + to.size())) {
        text.replace(place, from.size(), to);
    }
}

std::vector<std::string> caseNames()
{
    std::vector<std::string> names;
    for (const fs::directory_entry &entry : fs::directory_iterator(CasesDirectory)) {
        names.push_back(entry.path().filename().string());
    }
    std::sort(names.begin(), names.end());
    return names;
}

/// Runs the steps of one case directory in order. A line of steps.txt is the name of a step and the arguments of the program.
///
/// {log}, {control} and {entry} stand for the addresses of a log of its own and of processes that answer with control-state.json and
/// entry-state.json; {examples} is the directory of example documents. The lines of log.txt are records in the log. With LENTILLOCK_UPDATE_GOLDEN in the
/// environment the expected files are written instead of compared.
class GoldenTest : public testing::TestWithParam<std::string>
{
protected:
    GoldenTest()
        : directory_(CasesDirectory / GetParam())
        , platform_({.port = 0, .retentionRecords = 1000, .retention = 1h, .fetchesPerMinute = 1})
        , previousDirectory_(fs::current_path())
    {
        substitutions_ = {{"{log}", "http://" + platform_.start()}, {"{examples}", LENTILLOCK_SOURCE_DIR "/examples"}};
        startProcess("control", StateStandin::Kind::Control);
        startProcess("entry", StateStandin::Kind::Entry);
        fs::current_path(directory_);
        appendRecords();
    }

    ~GoldenTest() override
    {
        fs::current_path(previousDirectory_);
        platform_.stop();
    }

    void startProcess(const std::string &name, StateStandin::Kind kind)
    {
        if (fs::exists(directory_ / (name + "-state.json"))) {
            processes_.push_back(std::make_unique<StateStandin>(kind, readFile(directory_ / (name + "-state.json"))));
            substitutions_.emplace_back('{' + name + '}', processes_.back()->address());
        }
    }

    /// Appends each line of log.txt to the log as a record.
    void appendRecords()
    {
        HttpLogService log(substitutions_.front().second);
        std::istringstream lines(readFile("log.txt"));
        for (std::string line; std::getline(lines, line);) {
            EXPECT_TRUE(log.append(ConfigStream, {line}, 2s));
        }
    }

    void runStep(const std::string &line)
    {
        std::istringstream words(line);
        std::string step;
        words >> step;
        std::vector<std::string> arguments;
        for (std::string word; words >> word;) {
            for (const auto &[token, value] : substitutions_) {
                replaceAll(word, token, value);
            }
            arguments.push_back(word);
        }
        std::ostringstream out;
        std::ostringstream err;
        const int result = CommandLine().run(arguments, {out, err});
        check(step + "-stdout.txt", normalized(out.str()));
        check(step + "-stderr.txt", normalized(err.str()));
        check(step + "-result.txt", std::to_string(result) + '\n');
    }

    /// Replaces what differs from run to run.
    std::string normalized(std::string text) const
    {
        for (const auto &[token, value] : substitutions_) {
            replaceAll(text, value, token);
        }
        // The width of the column depends on the port.
        text = std::regex_replace(text, std::regex(R"((ADDRESS|\{control\}) +)"), "$1  ");
        text = std::regex_replace(text, std::regex(R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ)"), "TIME");
        text = std::regex_replace(text, std::regex(R"("timeMs":\d+)"), R"("timeMs":TIME)");
        return std::regex_replace(text, std::regex("[0-9a-f]{32}(?![0-9a-f])"), "ID");
    }

    void check(const std::string &name, const std::string &actual)
    {
        if (std::getenv("LENTILLOCK_UPDATE_GOLDEN") != nullptr) {
            std::ofstream(directory_ / name, std::ios::binary) << actual;
        }
        ASSERT_TRUE(fs::exists(directory_ / name)) << name;
        EXPECT_EQ(readFile(directory_ / name), actual) << name;
    }

    fs::path directory_;
    PlatformServer platform_;
    std::vector<std::unique_ptr<StateStandin>> processes_;
    std::vector<std::pair<std::string, std::string>> substitutions_;
    fs::path previousDirectory_;
};

// Guards against unintended changes of what operators and their programs read.
TEST_P(GoldenTest, Steps_AreRun_GiveExpectedOutput)
{
    std::istringstream steps(readFile("steps.txt"));
    for (std::string line; std::getline(steps, line);) {
        if (!line.empty()) {
            runStep(line);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Cases, GoldenTest, testing::ValuesIn(caseNames()), [](const testing::TestParamInfo<std::string> &info) {
    std::string name = info.param;
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
});

}
}
