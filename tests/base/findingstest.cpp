#include "base/findings.h"
#include "base/jsonreader.h"

#include <gtest/gtest.h>

namespace Lentillock
{
namespace
{

class JsonReaderTest : public testing::Test
{
protected:
    Findings findings_;
};

// Guards against stopping at the first problem: an operator would need one publish attempt for each error.
TEST_F(JsonReaderTest, ObjectWithSeveralProblems_IsRead_ReportsAllOfThem)
{
    const auto value = parseJson(R"({"port":99999,"nmae":"x","on":1})", "settings", findings_);
    JsonReader reader(*value, "settings", "", findings_);
    reader.integer("port", 80, 1, 65535);
    reader.requiredString("name");
    reader.boolean("on", false);
    reader.finish();

    EXPECT_EQ(findings_.toText(),
              "error: settings#/port: must be from 1 to 65535\n"
              "error: settings#/name: is missing\n"
              "error: settings#/on: must be true or false\n"
              "error: settings#/nmae: is not a known member; did you mean \"name\"?\n");
}

// Guards against a crash or silent default values on malformed JSON.
TEST_F(JsonReaderTest, TruncatedText_IsParsed_ReportsError)
{
    EXPECT_FALSE(parseJson(R"({"port":)", "settings", findings_).has_value());
    EXPECT_TRUE(findings_.hasErrors());
}

}
}
