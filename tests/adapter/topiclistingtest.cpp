#include "topiclisting.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace Lentillock::Platform
{

class TopicListingTest : public testing::Test
{
protected:
    static NewestPage page(const std::vector<std::string> &keys, bool hasMore, std::uint64_t end = 9)
    {
        NewestPage page{.end = end, .hasMore = hasMore};
        for (const std::string &key : keys) {
            page.records.push_back({.key = key, .value = "v"});
        }
        return page;
    }

    TopicListing listing_;
};

TEST_F(TopicListingTest, PagesBringNewKeys_LastIsAdded_IsComplete)
{
    EXPECT_EQ(listing_.lastKey(), std::nullopt);
    EXPECT_EQ(listing_.add(page({"a", "b"}, true)), TopicListing::State::Incomplete);
    EXPECT_EQ(listing_.lastKey(), "b");
    EXPECT_EQ(listing_.add(page({"c"}, false, 12)), TopicListing::State::Complete);
    EXPECT_EQ(listing_.end(), 9U); // Of the first page: what was appended since is read.
    EXPECT_EQ(listing_.takeRecords().size(), 3U);
}

TEST_F(TopicListingTest, EmptyListIsAdded_IsComplete)
{
    EXPECT_EQ(listing_.add(page({}, false)), TopicListing::State::Complete);
}

// Pages are not a snapshot: a key may move while the list is read.
TEST_F(TopicListingTest, KeyIsListedTwice_LastRecordCounts)
{
    EXPECT_EQ(listing_.add(page({"a", "b"}, true)), TopicListing::State::Incomplete);
    NewestPage second = page({"b", "c"}, false);
    second.records.front().value = "newer";
    EXPECT_EQ(listing_.add(second), TopicListing::State::Complete);
    const std::vector<KeyedRecord> records = listing_.takeRecords();
    ASSERT_EQ(records.size(), 3U);
    EXPECT_EQ(records.at(1).value, "newer");
}

// Guards against calls for the same page without end.
TEST_F(TopicListingTest, PageBringsNoNewKey_IsStalled)
{
    EXPECT_EQ(listing_.add(page({"a", "b"}, true)), TopicListing::State::Incomplete);
    EXPECT_EQ(listing_.add(page({"a", "b"}, true)), TopicListing::State::Stalled);
    EXPECT_EQ(listing_.takeRecords().size(), 2U);
}

TEST_F(TopicListingTest, PageIsEmptyAndAnnouncesMore_IsStalled)
{
    EXPECT_EQ(listing_.add(page({}, true)), TopicListing::State::Stalled);
}

// Guards against a list that takes all memory of a VM.
TEST_F(TopicListingTest, PagesBringNewKeysWithoutEnd_AreAdded_IsTooLarge)
{
    constexpr std::size_t valueBytes = 1UL * 1024 * 1024;
    std::size_t pages = 0;
    TopicListing::State state = TopicListing::State::Incomplete;
    while (state == TopicListing::State::Incomplete && pages <= TopicListing::MaxListedBytes / valueBytes) {
        NewestPage next = page({std::to_string(pages++)}, true);
        next.records.front().value = std::string(valueBytes, 'x');
        state = listing_.add(next);
    }
    EXPECT_EQ(state, TopicListing::State::TooLarge);
}

// The key of an item that cannot be read continues the list, and the item counts.
TEST_F(TopicListingTest, ItemHasNoValue_IsAdded_IsCounted)
{
    NewestPage first = page({"a", "b"}, true);
    first.records.back().value.reset();
    first.unreadableItems = 1;
    EXPECT_EQ(listing_.add(first), TopicListing::State::Incomplete);
    EXPECT_EQ(listing_.lastKey(), "b");
    EXPECT_EQ(listing_.unreadableItems(), 1U);
}

}
