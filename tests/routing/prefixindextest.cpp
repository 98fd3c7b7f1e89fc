#include "routing/prefixindex.h"

#include "routing/prefixblocks.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>

namespace Lentillock
{
namespace
{

class PrefixIndexTest : public testing::Test
{
protected:
    static std::vector<std::uint64_t> blocks(std::size_t count, std::uint64_t first = 1)
    {
        std::vector<std::uint64_t> blocks(count);
        std::iota(blocks.begin(), blocks.end(), first);
        return blocks;
    }

    TimePoint now_{std::chrono::hours(1)};
    PrefixIndex index_{1000};
    EndpointId engine_{"engine"};
};

TEST_F(PrefixIndexTest, Lookup_PromptContinuesBeyondStoredPrefix_FindsExactLength)
{
    for (const std::size_t stored : {1U, 2U, 3U, 7U, 64U, 100U}) {
        PrefixIndex index(1000);
        index.recordStored(now_, engine_, blocks(stored));
        const auto matches = index.lookup(now_, blocks(200));
        ASSERT_EQ(matches.size(), 1U) << stored;
        EXPECT_EQ(matches.front().blocks, stored);
    }
}

// Guards against unbounded growth. The start of a prompt, which most requests share, must be evicted last.
TEST_F(PrefixIndexTest, ManyPrompts_ExceedTheBound_DropTheOldestAndLongest)
{
    index_.recordStored(now_, engine_, blocks(1500));
    EXPECT_EQ(index_.size(), 1000U);
    EXPECT_EQ(index_.lookup(now_, blocks(1500)).front().blocks, 1000U);
}

// Guards against keeping a block forever because its eviction event was lost.
TEST_F(PrefixIndexTest, EvictionEventIsLost_EntryExpires)
{
    index_.handleCacheEvent(now_, engine_, "1", 1, true, 1);
    index_.handleCacheEvent(now_ + 1s, engine_, "1", 3, true, 9);
    EXPECT_EQ(index_.missedEvents(), 1U);
    EXPECT_EQ(index_.lookup(now_ + 1s, blocks(1)).size(), 1U);
    EXPECT_TRUE(index_.lookup(now_ + 10min, blocks(1)).empty());
}

// Guards against applying an old event after a newer one, and against keeping blocks of an engine process that has been replaced.
TEST_F(PrefixIndexTest, Events_RepeatedOrOfNewGeneration_DoNotRestoreOldEntries)
{
    index_.handleCacheEvent(now_, engine_, "1", 1, true, 1);
    index_.handleCacheEvent(now_, engine_, "1", 2, false, 1);
    index_.handleCacheEvent(now_, engine_, "1", 1, true, 1);
    EXPECT_TRUE(index_.lookup(now_, blocks(1)).empty());
    index_.handleCacheEvent(now_, engine_, "1", 3, true, 1);
    index_.handleCacheEvent(now_, engine_, "2", 1, true, 50);
    EXPECT_TRUE(index_.lookup(now_, blocks(1)).empty());
}

// Guards against prefix reuse between sharing groups: prompts with different salts must have no block hash in common.
RC_GTEST_PROP(PrefixBlocksTest, DifferentSalts_ShareNoBlock, (const std::string &one, const std::string &other, std::uint8_t blockCount, char filler))
{
    RC_PRE(one != other);
    const std::string prompt((blockCount % 8U + 1U) * PrefixBlockBytes, filler);
    const auto left = prefixBlockHashes(prompt, one);
    const auto right = prefixBlockHashes(prompt, other);
    RC_ASSERT(std::find_first_of(left.begin(), left.end(), right.begin(), right.end()) == left.end());
}

}
}
