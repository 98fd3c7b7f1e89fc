#include "cli/commandline.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>

namespace Lentillock
{
namespace
{

class ManualPagesTest : public testing::Test
{
protected:
    static std::string readPage(const std::string &command)
    {
        std::ifstream stream(LENTILLOCK_SOURCE_DIR "/docs/manual/lentillock-" + command + ".md");
        return {std::istreambuf_iterator<char>(stream), {}};
    }

    CommandLine commandLine_;
};

// Guards against a manual page whose synopsis, summary, options or defaults differ from those of the program.
TEST_F(ManualPagesTest, EveryCommand_HasPage_ThatAgreesWithHelp)
{
    for (const auto &command : commandLine_.commands()) {
        const std::string text = readPage(command->name());
        SCOPED_TRACE(command->name());
        EXPECT_NE(text.find("`" + CommandLine::synopsis(*command) + "`"), std::string::npos);
        EXPECT_NE(text.find(command->summary()), std::string::npos);
        std::set<std::string> documented;
        const std::regex row(R"(\n\| `--([a-z-]+))");
        for (std::sregex_iterator match(text.begin(), text.end(), row), end; match != end; ++match) {
            documented.insert((*match)[1]);
        }
        std::set<std::string> implemented;
        for (const OptionSpec &option : CommandLine::allOptions(*command)) {
            implemented.insert(option.name);
            std::string expected = "| `--" + option.name;
            expected.append(option.argument.empty() ? "" : " ").append(option.argument).append("` | ");
            expected.append(option.defaultValue.empty() ? "none" : option.defaultValue).append(" | ").append(option.description).append(" |");
            EXPECT_NE(text.find(expected), std::string::npos) << expected;
        }
        EXPECT_EQ(documented, implemented);
    }
}

TEST_F(ManualPagesTest, EveryPage_HasAllSections_InOrder)
{
    for (const auto &command : commandLine_.commands()) {
        const std::string text = readPage(command->name());
        SCOPED_TRACE(command->name());
        std::vector<std::size_t> positions;
        for (const char *heading : {"\n## Synopsis\n", "\n## Description\n", "\n## Options\n", "\n## Exit status\n", "\n## Errors\n"}) {
            positions.push_back(text.find(heading));
        }
        EXPECT_EQ(std::count(positions.begin(), positions.end(), std::string::npos), 0);
        EXPECT_TRUE(std::is_sorted(positions.begin(), positions.end()));
    }
}

}
}
