#include "storeclient.h"

#include <gtest/gtest.h>

#include <string>

namespace Lentillock::Platform
{

/// A page whose middle item differs from what the store gives for a record.
class NewestPageTest : public testing::TestWithParam<const char *>
{
protected:
    static std::string pageWith(const std::string &item)
    {
        return R"({"items":[{"key":"a","value":"dg==","offset":1},)" + item + R"(,{"key":"c","value":"dg==","offset":3}],"has_more":true,"end":4})";
    }

    static void expectOthersHold(const NewestPage &page)
    {
        ASSERT_GE(page.records.size(), 2U);
        EXPECT_EQ(page.records.front().value, "v");
        EXPECT_EQ(page.records.back().key, "c");
        EXPECT_EQ(page.records.back().value, "v");
        EXPECT_EQ(page.end, 4U);
        EXPECT_TRUE(page.hasMore);
    }
};

class UnreadableItemTest : public NewestPageTest
{
};

// Guards against one item that refuses the whole page.
TEST_P(UnreadableItemTest, ItemCannotBeRead_PageIsDecoded_OthersHold)
{
    const auto page = decodeNewestPage(pageWith(GetParam()));
    ASSERT_TRUE(page.has_value());
    EXPECT_EQ(page->unreadableItems, 1U);
    expectOthersHold(*page);
}

INSTANTIATE_TEST_SUITE_P(Shapes,
                         UnreadableItemTest,
                         testing::Values("7",
                                         "null",
                                         "[]",
                                         R"({})",
                                         R"({"key":null,"value":"dg==","offset":2})",
                                         R"({"value":"dg==","offset":2})",
                                         R"({"key":"b","offset":2})",
                                         R"({"key":"b","value":null,"offset":2})",
                                         R"({"key":"b","value":7,"offset":2})",
                                         R"({"key":"b","value":"{*}","offset":2})",
                                         R"({"key":"b","value":"dg=="})",
                                         R"({"key":"b","value":"dg==","offset":"x"})",
                                         R"({"key":"b","value":"dg==","offset":-1})",
                                         R"({"key":"b","value":"dg==","offset":1.5})"));

// The next page begins after the last key, whether or not its item can be read.
TEST_F(NewestPageTest, LastItemHasKeyWithoutValue_PageIsDecoded_KeepsKey)
{
    const auto page = decodeNewestPage(R"({"items":[{"key":"b","value":null}],"has_more":true,"end":4})");
    ASSERT_TRUE(page.has_value());
    ASSERT_EQ(page->records.size(), 1U);
    EXPECT_EQ(page->records.front().key, "b");
    EXPECT_FALSE(page->records.front().value.has_value());
}

TEST_F(NewestPageTest, KeyIsNotUtf8_PageIsDecoded_IsKept)
{
    const auto page = decodeNewestPage(pageWith("{\"key\":\"b\xff\xfe\",\"value\":\"dg==\",\"offset\":2}"));
    ASSERT_TRUE(page.has_value());
    EXPECT_EQ(page->unreadableItems, 0U);
    EXPECT_EQ(page->records.at(1).key, "b\xff\xfe");
    expectOthersHold(*page);
}

// Guards against a key from the log that makes the copy of a topic unreadable for other VMs.
TEST_F(NewestPageTest, KeyIsNotUtf8_PageIsEncodedForPeer_IsDecoded)
{
    NewestPage page{.end = 4};
    page.records.push_back({.key = "b\xff\xfe\n\"", .value = "v", .offset = 2});
    const auto decoded = decodeNewestPage(encodeNewestPage(page));
    ASSERT_TRUE(decoded.has_value());
    ASSERT_EQ(decoded->records.size(), 1U);
    EXPECT_EQ(decoded->records.front().key, page.records.front().key);
}

TEST_F(NewestPageTest, BoundsCannotBeRead_PageIsDecoded_IsRefused)
{
    for (const char *text : {R"({"items":[],"has_more":false})", R"({"items":[],"end":"x"})", R"({"items":7,"end":1})", R"({"items":[],"end":1,"era":-1})"}) {
        EXPECT_FALSE(decodeNewestPage(text).has_value()) << text;
    }
}

}
