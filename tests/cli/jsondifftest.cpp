#include "cli/jsondiff.h"

#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

namespace Lentillock
{
namespace
{

// Guards against an array comparison by index: reordering elements that have an id would then be reported as changes.
TEST(JsonDiffTest, ReorderedElements_AreCompared_ByTheirId)
{
    const auto before = boost::json::parse(R"({"models":[{"id":"a","v":1},{"id":"b","v":1}],"n":[1,2]})");
    const auto after = boost::json::parse(R"({"n":[1,3,4],"models":[{"id":"b","v":2},{"id":"c","v":1},{"id":"a","v":1}]})");
    const std::vector<JsonChange> expected{{"/models/[b]/v", "1", "2"}, {"/models/[c]", "", R"({"id":"c","v":1})"}, {"/n/1", "2", "3"}, {"/n/2", "", "4"}};
    EXPECT_EQ(jsonDifferences(before, after), expected);
}

}
}
