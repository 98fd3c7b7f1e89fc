#include "config/configsimulation.h"

#include <gtest/gtest.h>

namespace Lentillock
{
namespace
{

class ConfigPublisherTest : public testing::Test
{
protected:
    ConfigPublisherTest()
    {
        simulation_.publishSample();
    }

    PublishOutcome waitForOutcome(SimulatedOperator &publisher)
    {
        simulation_.runFor(40s);
        EXPECT_TRUE(publisher.done().has_value());
        return publisher.done()->outcome;
    }

    std::size_t recordCount()
    {
        return simulation_.log().history(ConfigStream).size();
    }

    const std::string text_ = R"({"models":[{"id":"m","version":"2","maxTokens":10}]})";
    const std::string otherText_ = R"({"models":[{"id":"m","version":"3","maxTokens":10}]})";
    ConfigSimulation simulation_;
};

// Guards against reporting that a publish failed although its record was accepted.
TEST_F(ConfigPublisherTest, LostAppendReply_RecordIsFoundInLog_ReportsAccepted)
{
    simulation_.log().addAppendFault(FakeLogService::AppendFault::LoseResponse);
    EXPECT_EQ(waitForOutcome(simulation_.publish("models", text_)), PublishOutcome::Accepted);
    EXPECT_EQ(recordCount(), 6U);
}

TEST_F(ConfigPublisherTest, LostAppend_IsRetried_AcceptedOnce)
{
    simulation_.log().addAppendFault(FakeLogService::AppendFault::DropRequest);
    EXPECT_EQ(waitForOutcome(simulation_.publish("models", text_)), PublishOutcome::Accepted);
    EXPECT_EQ(recordCount(), 6U);
}

// Guards against a delayed append that takes effect after its retry and overwrites another operator's change.
TEST_F(ConfigPublisherTest, DelayedAppend_AppearsAfterItsRetry_ChangesNothing)
{
    simulation_.log().addAppendFault(FakeLogService::AppendFault::Delay);
    EXPECT_EQ(waitForOutcome(simulation_.publish("models", text_)), PublishOutcome::Accepted);
    EXPECT_EQ(waitForOutcome(simulation_.publish("models", otherText_)), PublishOutcome::Accepted);
    simulation_.log().flushDelayed();
    EXPECT_EQ(simulation_.expectedState().section("models").text, otherText_);
}

// Guards against a lost update: the second of two concurrent publishes overwrites the first.
TEST_F(ConfigPublisherTest, ConcurrentPublishes_OneIsAccepted_OtherReportsConflictWithBothTexts)
{
    SimulatedOperator &first = simulation_.publish("models", text_);
    SimulatedOperator &second = simulation_.publish("models", otherText_);
    EXPECT_EQ(waitForOutcome(first), PublishOutcome::Accepted);
    EXPECT_EQ(waitForOutcome(second), PublishOutcome::Conflict);
    EXPECT_EQ(second.done()->decision.currentText, text_);
    EXPECT_EQ(second.done()->decision.record.text, otherText_);
}

// Guards against a retry after an outage that silently uses another operator's newer version as its base.
TEST_F(ConfigPublisherTest, OtherChangeDuringOutage_ReportsConflict)
{
    SimulatedOperator &publisher = simulation_.publish("models", text_);
    publisher.run(simulation_.now());
    simulation_.log().setOutage(true);
    publisher.run(simulation_.now());
    simulation_.log().setOutage(false);
    const std::string data = encodeRecord(PublishRecord{1, "other", "models", 2, "other", otherText_});
    ASSERT_TRUE(simulation_.log().append(ConfigStream, {data}, 1s));
    EXPECT_EQ(waitForOutcome(publisher), PublishOutcome::Conflict);
}

TEST_F(ConfigPublisherTest, StaleBase_IsRejectedWithoutAppend)
{
    EXPECT_EQ(waitForOutcome(simulation_.publish("models", text_, 1)), PublishOutcome::Conflict);
    EXPECT_EQ(recordCount(), 5U);
}

TEST_F(ConfigPublisherTest, InvalidText_IsRejectedWithFindingsWithoutAppend)
{
    SimulatedOperator &publisher = simulation_.publish("models", R"({"models":[]})");
    EXPECT_EQ(waitForOutcome(publisher), PublishOutcome::Invalid);
    EXPECT_TRUE(publisher.done()->decision.findings.hasErrors());
    EXPECT_EQ(recordCount(), 5U);
}

TEST_F(ConfigPublisherTest, OutageBeyondTimeout_ReportsNotPublished)
{
    simulation_.log().setOutage(true);
    EXPECT_EQ(waitForOutcome(simulation_.publish("models", text_)), PublishOutcome::NotPublished);
    simulation_.log().setOutage(false);
    simulation_.runFor(5s);
    EXPECT_EQ(recordCount(), 5U);
}

// Guards against reporting a publish as failed while its record may still appear in the log.
TEST_F(ConfigPublisherTest, OutageAfterAppendWithUnknownOutcome_ReportsUnknown)
{
    SimulatedOperator &publisher = simulation_.publish("models", text_);
    simulation_.log().addAppendFault(FakeLogService::AppendFault::Delay);
    publisher.run(simulation_.now());
    publisher.run(simulation_.now());
    simulation_.log().setOutage(true);
    EXPECT_EQ(waitForOutcome(publisher), PublishOutcome::Unknown);
}

}
}
