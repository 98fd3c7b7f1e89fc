#include "storetarget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace Lentillock::Platform
{

// Guards against keys of other writers that end the target, add a parameter, or make the request line unreadable.
TEST(StoreTargetTest, ValueWithReservedCharacters_IsWritten_IsPercentEncoded)
{
    EXPECT_EQ(storeTarget("log-newest", {{"topic", "keyed.servers"}, {"part", "0"}, {"after", "a b&after=#+%zz\r\n\"\xff"}}),
              "/lentillock/log-newest?topic=keyed.servers&part=0&after=a%20b%26after%3D%23%2B%25zz%0D%0A%22%FF");
}

TEST(StoreTargetTest, ValueWithZeroByte_IsWritten_IsWrittenWhole)
{
    EXPECT_EQ(storeTarget("log-read", {{"from", std::string_view("a\0b", 3)}}), "/lentillock/log-read?from=a%00b");
}

RC_GTEST_PROP(StoreTargetTest, AnyValue_IsWritten_LeavesOneParameter, (const std::string &value))
{
    const std::string target = storeTarget("log-newest", {{"after", value}});
    const std::string encoded = target.substr(target.find('=') + 1);
    RC_ASSERT(std::count(target.begin(), target.end(), '=') == 1);
    RC_ASSERT(encoded.find_first_of("&#+? \r\n") == std::string::npos);
}

}
