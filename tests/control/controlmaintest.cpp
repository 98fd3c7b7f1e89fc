#include "control/controlmain.h"
#include "control/controlsettings.h"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <regex>
#include <sstream>

namespace Lentillock
{
namespace
{

class ControlMainTest : public testing::Test
{
protected:
    ControlMainTest()
    {
        std::ifstream stream(MANUAL_PAGE);
        manualPage_.assign(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
    }

    int run(const std::vector<std::string> &arguments)
    {
        output_.str("");
        errors_.str("");
        return runControl(arguments, output_, errors_);
    }

    std::string manualPage_;
    std::ostringstream output_;
    std::ostringstream errors_;
};

// Guards against a manual page whose list of settings differs from the help text.
TEST_F(ControlMainTest, ManualPage_DescribesEverySettingAsTheHelpDoes)
{
    for (const NumberSetting &setting : controlNumberSettings()) {
        std::ostringstream row;
        row << "| `" << setting.name << "` | " << setting.unit << " | " << setting.defaultValue << " | " << setting.minimum << " to " << setting.maximum
            << " | " << setting.description << " |\n";
        EXPECT_NE(manualPage_.find(row.str()), std::string::npos) << row.str();
    }
    for (const TextSetting &setting : controlTextSettings()) {
        const std::string row = std::string("| `") + setting.name + "` | " + (setting.required ? "yes" : "no") + " | " + setting.description + " |\n";
        EXPECT_NE(manualPage_.find(row), std::string::npos) << row;
    }
}

// Guards against options that are missing from either the manual page or the help text.
TEST_F(ControlMainTest, ManualPageAndHelp_NameTheSameOptions)
{
    const std::string help = controlHelpText();
    const std::regex option("--[a-z]+");
    const auto names = [&option](const std::string &text) {
        std::set<std::string> found;
        for (std::sregex_iterator match(text.begin(), text.end(), option), end; match != end; ++match) {
            found.insert(match->str());
        }
        return found;
    };
    EXPECT_EQ(names(help), names(manualPage_));
}

TEST_F(ControlMainTest, HelpAndVersion_AreAsked_Succeed)
{
    EXPECT_EQ(run({"--help"}), 0);
    EXPECT_EQ(output_.str(), controlHelpText());
    EXPECT_EQ(run({"--version"}), 0);
    EXPECT_TRUE(output_.str().starts_with("lentillock-control "));
}

// Guards against the same exit status for usage errors and invalid settings, which scripts must be able to tell apart.
TEST_F(ControlMainTest, CallOrSettingsAreWrong_ExitStatusTellsThemApart)
{
    EXPECT_EQ(run({}), 2);
    EXPECT_EQ(run({"--unknown"}), 2);
    EXPECT_EQ(run({"--settings", "/does/not/exist", "--check"}), 1);
}

// Guards against reporting only the first error, so that finding all of them takes several starts.
TEST_F(ControlMainTest, SettingsWithSeveralErrors_AreRead_ReportsAllOfThem)
{
    Findings findings;
    const std::string text = R"({"vm":"a/b","zone":"z","grpc":"localhost:1","gossip":"127.0.0.1:0","operators":"127.0.0.1:0",)"
                             R"("log":"ftp://x","pollIntervalMs":1,"sedes":[]})";
    EXPECT_FALSE(readControlSettings(text, "s", findings));
    EXPECT_EQ(findings.toText(),
              "error: s#/vm: must not be empty or contain a slash\n"
              "error: s#/grpc: must be an address of the form IP:PORT\n"
              "error: s#/log: must be a URL that starts with http://\n"
              "error: s#/pollIntervalMs: must be from 50 to 10000\n"
              "error: s#/sedes: is not a known member; did you mean \"seeds\"?\n");
}

}
}
