#include "config/configreader.h"
#include "config/sampledocument.h"

#include <gtest/gtest.h>

namespace Lentillock
{
namespace
{

class ConfigReaderTest : public testing::Test
{
protected:
    ConfigReaderTest()
    {
        append(encodeRecord(PublishRecord{1, "a", "zones", 0, "operator", sampleTexts().at("zones")}));
        oldSnapshot_ = stateMachine_.snapshotData();
        append(encodeRecord(PublishRecord{1, "b", "models", 0, "operator", sampleTexts().at("models")}));
    }

    void append(const std::string &data)
    {
        records_.push_back({records_.size() + 1, WallTime(1h), data});
        stateMachine_.apply(records_.back());
    }

    LogBatch batchFrom(std::uint64_t offset) const
    {
        return {{records_.begin() + static_cast<std::ptrdiff_t>(offset - 1), records_.end()}, records_.size() + 1, offset};
    }

    ConfigStateMachine stateMachine_;
    std::vector<LogRecord> records_;
    std::string oldSnapshot_;
    ConfigReader reader_;
};

TEST_F(ConfigReaderTest, CompleteLog_IsRead_GivesSameState)
{
    EXPECT_EQ(reader_.handleBatch(batchFrom(1)).size(), 2U);
    ASSERT_NE(reader_.stateMachine(), nullptr);
    EXPECT_EQ(reader_.stateMachine()->state(), stateMachine_.state());
}

// Guards against starting from a snapshot when records after its state have expired: the second record would be missing permanently.
TEST_F(ConfigReaderTest, SnapshotWithExpiredLaterRecords_IsNotUsed)
{
    append(oldSnapshot_);
    reader_.handleExpired(3);
    reader_.handleBatch(batchFrom(3));
    EXPECT_TRUE(reader_.lacksInitialState());
    append(stateMachine_.snapshotData());
    reader_.handleBatch({{records_.back()}, 5, 3});
    ASSERT_NE(reader_.stateMachine(), nullptr);
    EXPECT_EQ(reader_.stateMachine()->state(), stateMachine_.state());
}

// Guards against dropping records that precede a snapshot in the log but are not included in its state.
TEST_F(ConfigReaderTest, SnapshotAfterRecordsThatItLacks_IsUsedWithThem)
{
    append(oldSnapshot_);
    reader_.handleExpired(2);
    reader_.handleBatch(batchFrom(2));
    ASSERT_NE(reader_.stateMachine(), nullptr);
    EXPECT_EQ(reader_.stateMachine()->state(), stateMachine_.state());
}

// Guards against a reader that never starts because the service does not report the oldest retained offset with its error.
TEST_F(ConfigReaderTest, ExpiredWithoutEarliest_IsLocatedByReadBeyondEnd)
{
    append(stateMachine_.snapshotData());
    reader_.handleExpired(std::nullopt);
    EXPECT_EQ(reader_.nextOffset(), ConfigReader::BeyondEnd);
    reader_.handleBatch({{}, ConfigReader::BeyondEnd, 3});
    EXPECT_EQ(reader_.nextOffset(), 3U);
    reader_.handleBatch(batchFrom(3));
    EXPECT_NE(reader_.stateMachine(), nullptr);
}

}
}
