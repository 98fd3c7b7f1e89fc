#include "integration/testfleet.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <array>
#include <cstdio>

namespace Lentillock
{
namespace
{

struct CommandResult {
    int status = -1;
    std::string output;
};

class OperatorsTest : public testing::Test
{
protected:
    static CommandResult run(const std::string &arguments)
    {
        const std::string command = std::string(LENTILLOCK_BINARY_DIR) + "/src/cli/lentillock " + arguments;
        FILE *pipe = popen(command.c_str(), "r"); // NOLINT(cert-env33-c): the command runs a fixed program with arguments of this test.
        CommandResult result;
        std::array<char, 4096> buffer{};
        while (const std::size_t count = fread(buffer.data(), 1, buffer.size(), pipe)) {
            result.output.append(buffer.data(), count);
        }
        result.status = WEXITSTATUS(pclose(pipe));
        return result;
    }

    TestFleet fleet_{{}};
};

// Guards against `lentillock explain` querying a state section that the process does not have.
TEST_F(OperatorsTest, FinishedRequest_IsExplained_ShowsItsCourse)
{
    const TestResponse response = fleet_.sendCompletion(0, testPrompt(1000, "explained"), 8);
    const std::string id = boost::json::parse(response.body).at("id").as_string().c_str();
    const CommandResult known = run("explain " + id + ' ' + fleet_.vm(0).entry->address("grpc") + " --json");
    EXPECT_EQ(known.status, 0) << known.output;
    EXPECT_NE(known.output.find("attempt started"), std::string::npos) << known.output;
    EXPECT_NE(known.output.find("succeeded"), std::string::npos) << known.output;
    const CommandResult elsewhere = run("explain " + id + ' ' + fleet_.vm(1).entry->address("grpc") + " 2>/dev/null");
    EXPECT_EQ(elsewhere.status, 3);
}

// Guards against `lentillock status` omitting how long a configuration has been in force.
TEST_F(OperatorsTest, Status_OfAllControlProcesses_TellsVersionAndTime)
{
    const CommandResult status = run("status " + fleet_.vm(0).control->address("grpc") + ' ' + fleet_.vm(1).control->address("grpc"));
    EXPECT_EQ(status.status, 0) << status.output;
    EXPECT_NE(status.output.find(" s "), std::string::npos) << status.output;
    EXPECT_EQ(status.output.find(" - "), std::string::npos) << status.output;
}

}
}
