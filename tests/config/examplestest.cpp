#include "config/documentvalidator.h"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

namespace Lentillock
{
namespace
{

class ExamplesTest : public testing::TestWithParam<const char *>
{
};

// Guards against example documents that fail validation.
TEST_P(ExamplesTest, ExampleDocument_IsValidWithoutWarnings)
{
    SectionTexts texts;
    for (const std::string_view section : SectionNames) {
        std::ifstream stream(std::string(LENTILLOCK_SOURCE_DIR "/examples/") + GetParam() + '/' + std::string(section) + ".json");
        texts.emplace(section, std::string(std::istreambuf_iterator<char>(stream), {}));
        EXPECT_FALSE(texts.find(section)->second.empty()) << section;
    }
    Findings findings;
    const ServingDocumentPtr document = DocumentValidator::validate(texts, findings);
    EXPECT_EQ(findings.toText(), "");
    ASSERT_NE(document, nullptr);
    EXPECT_EQ(document->zones.size(), 3U);
    EXPECT_EQ(document->endpoints.size(), 17U);
    EXPECT_EQ(document->workspaces.size(), 10U);
}

INSTANTIATE_TEST_SUITE_P(Users, ExamplesTest, testing::Values("kingston-parish", "lakeshore"), [](const testing::TestParamInfo<const char *> &info) {
    return std::string(info.param).starts_with("k") ? "KingstonParish" : "Lakeshore";
});

}
}
