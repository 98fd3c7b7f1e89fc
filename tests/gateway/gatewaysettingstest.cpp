#include "gateway/gatewaysettings.h"

#include "base/jsonreader.h"

#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <map>
#include <regex>

namespace Lentillock
{

namespace
{

class GatewaySettingsTest : public testing::Test
{
protected:
    /// Settings with all required members, and the member @p name with the JSON text @p value.
    GatewaySettings readWith(const std::string &name, const std::string &value)
    {
        boost::json::object json{{"vm", "vm-1"},
                                 {"zone", "zone-1"},
                                 {"ip", "127.0.0.1"},
                                 {"callerAddress", "127.0.0.1:1"},
                                 {"readinessAddress", "127.0.0.1:2"},
                                 {"storeAddress", "127.0.0.1:3"}};
        json[name] = boost::json::parse(value);
        findings_ = {};
        return GatewaySettings::read(json, "test", findings_);
    }

    bool isAccepted(const std::string &name, const std::string &value)
    {
        readWith(name, value);
        return !findings_.hasErrors();
    }

    Findings findings_;
};

/// A placeholder of the settings template, and the text that the platform inserts for it.
using Placeholders = std::map<std::string, std::string>;

std::string renderTemplate(const Placeholders &placeholders)
{
    std::ifstream file(LENTILLOCK_SOURCE_DIR "/deploy/gateway.json.in");
    std::string text(std::istreambuf_iterator<char>(file), {});
    for (const auto &[name, value] : placeholders) {
        text = std::regex_replace(text, std::regex(std::string(R"(\{\{)").append(name).append(R"(\|json\}\})")), value);
    }
    return text;
}

}

TEST_F(GatewaySettingsTest, DecimalSetting_IsAFraction_IsRead)
{
    EXPECT_EQ(readWith("drainGraceSeconds", "8.5").drainGrace, 8500ms);
    EXPECT_EQ(readWith("repeatWindowSeconds", "2.25").retryBudget.window, 2250ms);
    EXPECT_EQ(readWith("repeatSlack", "54.3").retryBudget.slack, 54.3);
    EXPECT_EQ(readWith("repeatRatio", "0.15").retryBudget.ratio, 0.15);
    EXPECT_FALSE(findings_.hasErrors()) << findings_.toText();
}

TEST_F(GatewaySettingsTest, NumberSetting_IsAtALimit_IsAccepted_BeyondIt_IsRejected)
{
    struct Limits {
        const char *name;
        const char *smallest;
        const char *largest;
        const char *tooSmall;
        const char *tooLarge;
    };
    for (const Limits &limits : {Limits{"drainGraceSeconds", "0.1", "3600", "0.09", "3600.1"},
                                 Limits{"repeatWindowSeconds", "0.1", "3600", "0", "1e9"},
                                 Limits{"repeatSlack", "0", "1e9", "-0.1", "1.1e9"},
                                 Limits{"repeatRatio", "0", "1000", "-1", "1001"},
                                 Limits{"peerPort", "1", "65535", "0", "65536"},
                                 Limits{"metricsPort", "1", "65535", "-1", "70000"}}) {
        SCOPED_TRACE(limits.name);
        EXPECT_TRUE(isAccepted(limits.name, limits.smallest)) << findings_.toText();
        EXPECT_TRUE(isAccepted(limits.name, limits.largest)) << findings_.toText();
        EXPECT_FALSE(isAccepted(limits.name, limits.tooSmall));
        EXPECT_FALSE(isAccepted(limits.name, limits.tooLarge));
    }
}

TEST_F(GatewaySettingsTest, NumberSetting_IsNoNumber_IsRejectedWithItsName)
{
    for (const char *name : {"drainGraceSeconds", "repeatWindowSeconds", "repeatSlack", "repeatRatio", "peerPort", "metricsPort"}) {
        for (const char *value : {R"("8")", "null", "[8]", "{}", "true"}) {
            EXPECT_FALSE(isAccepted(name, value)) << name << ' ' << value;
            EXPECT_NE(findings_.toText().find(name), std::string::npos);
        }
    }
}

TEST_F(GatewaySettingsTest, TextSetting_IsMissingOrMalformed_IsRejected)
{
    for (const char *name : {"vm", "zone", "ip", "callerAddress", "readinessAddress", "storeAddress"}) {
        EXPECT_FALSE(isAccepted(name, "8.5")) << name;
    }
    EXPECT_FALSE(isAccepted("callerAddress", R"("127.0.0.1")"));
    EXPECT_FALSE(isAccepted("vm", R"("")"));
}

// Guards against bounds that are fractions, with which the process ended at its start.
TEST_F(GatewaySettingsTest, Template_IsRenderedWithFractions_IsAccepted)
{
    for (const char *number : {"0.5", "8", "8.5", "54.25", "12.0"}) {
        const std::string text = renderTemplate({{"node", R"("vm-1")"},
                                                 {"zone", R"("zone-1")"},
                                                 {"ip", R"("127.0.0.1")"},
                                                 {R"(listen\.front)", R"("127.0.0.1:1")"},
                                                 {R"(listen\.ready)", R"("127.0.0.1:2")"},
                                                 {R"(provider\.address)", R"("127.0.0.1:3")"},
                                                 {R"(internal_ports\.0)", "7340"},
                                                 {R"(internal_ports\.1)", "7355"},
                                                 {R"(bounds\.grace_s)", number},
                                                 {R"(bounds\.retry_budget_ratio)", number},
                                                 {R"(bounds\.budget_slack)", number},
                                                 {R"(bounds\.budget_window_s)", number}});
        Findings findings;
        const auto json = parseJson(text, "template", findings);
        ASSERT_TRUE(json.has_value()) << text;
        const GatewaySettings settings = GatewaySettings::read(*json, "template", findings);
        EXPECT_FALSE(findings.hasErrors()) << findings.toText();
        EXPECT_EQ(settings.drainGrace, milliseconds(static_cast<std::int64_t>(std::stod(number) * 1000)));
        EXPECT_EQ(settings.retryBudget.slack, std::stod(number));
    }
}

}
