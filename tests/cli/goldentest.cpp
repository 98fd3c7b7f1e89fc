#include "cli/commandline.h"
#include "cli/fakestateserver.h"
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
    for (std::size_t position = text.find(from); position != std::string::npos; position = text.find(from, position + to.size())) {
        text.replace(position, from.size(), to);
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

/// Runs the steps of one case directory in order. Each line of steps.txt holds the name of a step and the arguments of the program.
///
/// In the arguments, {log} is replaced by the URL of a log server that only this case uses, {control} and {entry} by the addresses of fake
/// processes that return control-state.json and entry-state.json, and {examples} by the directory of the example documents. The lines of
/// log.txt are appended to the log as records first. If the environment variable LENTILLOCK_UPDATE_GOLDEN is set, the expected files are
/// written before they are compared.
class GoldenTest : public testing::TestWithParam<std::string>
{
protected:
    GoldenTest()
        : directory_(CasesDirectory / GetParam())
        , platform_({.port = 0, .retentionRecords = 1000, .retention = 1h, .fetchesPerMinute = 1})
        , previousDirectory_(fs::current_path())
    {
        substitutions_ = {{"{log}", "http://" + platform_.start()}, {"{examples}", LENTILLOCK_SOURCE_DIR "/examples"}};
        startProcess("control", FakeStateServer::Kind::Control);
        startProcess("entry", FakeStateServer::Kind::Entry);
        fs::current_path(directory_);
        appendLogRecords();
    }

    ~GoldenTest() override
    {
        fs::current_path(previousDirectory_);
        platform_.stop();
    }

    /// Starts a fake process if the case directory has a state file for it.
    void startProcess(const std::string &name, FakeStateServer::Kind kind)
    {
        if (fs::exists(directory_ / (name + "-state.json"))) {
            processes_.push_back(std::make_unique<FakeStateServer>(kind, readFile(directory_ / (name + "-state.json"))));
            substitutions_.emplace_back('{' + name + '}', processes_.back()->address());
        }
    }

    void appendLogRecords()
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
        compareWithFile(step + "-stdout.txt", normalized(out.str()));
        compareWithFile(step + "-stderr.txt", normalized(err.str()));
        compareWithFile(step + "-result.txt", std::to_string(result) + '\n');
    }

    /// Replaces text that differs between runs, such as addresses, times and random ids.
    std::string normalized(std::string text) const
    {
        for (const auto &[token, value] : substitutions_) {
            replaceAll(text, value, token);
        }
        // The column width depends on the number of digits of the port.
        text = std::regex_replace(text, std::regex(R"((ADDRESS|\{control\}) +)"), "$1  ");
        text = std::regex_replace(text, std::regex(R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ)"), "TIME");
        text = std::regex_replace(text, std::regex(R"("timeMs":\d+)"), R"("timeMs":TIME)");
        return std::regex_replace(text, std::regex("[0-9a-f]{32}(?![0-9a-f])"), "ID");
    }

    void compareWithFile(const std::string &name, const std::string &actual)
    {
        if (std::getenv("LENTILLOCK_UPDATE_GOLDEN") != nullptr) {
            std::ofstream(directory_ / name, std::ios::binary) << actual;
        }
        ASSERT_TRUE(fs::exists(directory_ / name)) << name;
        EXPECT_EQ(readFile(directory_ / name), actual) << name;
    }

    fs::path directory_;
    PlatformServer platform_;
    std::vector<std::unique_ptr<FakeStateServer>> processes_;
    std::vector<std::pair<std::string, std::string>> substitutions_;
    fs::path previousDirectory_;
};

// Guards against unintended changes of the output and exit status that operators and scripts depend on.
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
