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

    PublishOutcome outcomeOf(SimulatedOperator &publisher)
    {
        simulation_.settle(40s);
        EXPECT_TRUE(publisher.done().has_value());
        return publisher.done()->outcome;
    }

    std::size_t recordsInLog()
    {
        return simulation_.log().history(ConfigStream).size();
    }

    const std::string text_ = R"({"models":[{"id":"m","version":"2","maxTokens":10}]})";
    const std::string otherText_ = R"({"models":[{"id":"m","version":"3","maxTokens":10}]})";
    ConfigSimulation simulation_;
};

// Guards against telling an operator that a publish failed although it is in force.
TEST_F(ConfigPublisherTest, LostAnswer_IsFoundInTheLog_AndReportedAsAccepted)
{
    simulation_.log().addAppendFault(FakeLogService::AppendFault::LoseAnswer);
    EXPECT_EQ(outcomeOf(simulation_.publish("models", text_)), PublishOutcome::Accepted);
    EXPECT_EQ(recordsInLog(), 6U);
}

TEST_F(ConfigPublisherTest, SwallowedAppend_IsRepeated_AndAcceptedOnce)
{
    simulation_.log().addAppendFault(FakeLogService::AppendFault::Swallow);
    EXPECT_EQ(outcomeOf(simulation_.publish("models", text_)), PublishOutcome::Accepted);
    EXPECT_EQ(recordsInLog(), 6U);
}

// Guards against a late first append that takes effect a second time, over another operator's change.
TEST_F(ConfigPublisherTest, DelayedAppend_AppearsAfterItsRepetition_ChangesNothing)
{
    simulation_.log().addAppendFault(FakeLogService::AppendFault::Delay);
    EXPECT_EQ(outcomeOf(simulation_.publish("models", text_)), PublishOutcome::Accepted);
    EXPECT_EQ(outcomeOf(simulation_.publish("models", otherText_)), PublishOutcome::Accepted);
    simulation_.log().flushDelayed();
    EXPECT_EQ(simulation_.reference().section("models").text, otherText_);
}

// Guards against the loser of a race who overwrites the winner's change.
TEST_F(ConfigPublisherTest, RacingOperators_OneIsAccepted_OtherGetsConflictWithBothTexts)
{
    SimulatedOperator &first = simulation_.publish("models", text_);
    SimulatedOperator &second = simulation_.publish("models", otherText_);
    EXPECT_EQ(outcomeOf(first), PublishOutcome::Accepted);
    EXPECT_EQ(outcomeOf(second), PublishOutcome::Conflict);
    EXPECT_EQ(second.done()->decision.currentText, text_);
    EXPECT_EQ(second.done()->decision.record.text, otherText_);
}

// Guards against a retry after an outage that silently takes another operator's newer text as its base.
TEST_F(ConfigPublisherTest, OtherChangeDuringOutage_EndsInConflict)
{
    SimulatedOperator &publisher = simulation_.publish("models", text_);
    publisher.run(simulation_.now());
    simulation_.log().setOutage(true);
    publisher.run(simulation_.now());
    simulation_.log().setOutage(false);
    const std::string data = encodeRecord(PublishRecord{1, "other", "models", 2, "other", otherText_});
    ASSERT_TRUE(simulation_.log().append(ConfigStream, {data}, 1s));
    EXPECT_EQ(outcomeOf(publisher), PublishOutcome::Conflict);
}

TEST_F(ConfigPublisherTest, StaleBase_IsRefusedWithoutARecord)
{
    EXPECT_EQ(outcomeOf(simulation_.publish("models", text_, 1)), PublishOutcome::Conflict);
    EXPECT_EQ(recordsInLog(), 5U);
}

TEST_F(ConfigPublisherTest, InvalidText_IsRefusedWithFindingsWithoutARecord)
{
    SimulatedOperator &publisher = simulation_.publish("models", R"({"models":[]})");
    EXPECT_EQ(outcomeOf(publisher), PublishOutcome::Invalid);
    EXPECT_TRUE(publisher.done()->decision.findings.hasErrors());
    EXPECT_EQ(recordsInLog(), 5U);
}

TEST_F(ConfigPublisherTest, LongOutage_EndsAsNotPublished)
{
    simulation_.log().setOutage(true);
    EXPECT_EQ(outcomeOf(simulation_.publish("models", text_)), PublishOutcome::NotPublished);
    simulation_.log().setOutage(false);
    simulation_.settle(5s);
    EXPECT_EQ(recordsInLog(), 5U);
}

// Guards against calling a publish failed whose record may still appear.
TEST_F(ConfigPublisherTest, OutageAfterLostAnswer_EndsAsUnknown)
{
    SimulatedOperator &publisher = simulation_.publish("models", text_);
    simulation_.log().addAppendFault(FakeLogService::AppendFault::Delay);
    publisher.run(simulation_.now());
    publisher.run(simulation_.now());
    simulation_.log().setOutage(true);
    EXPECT_EQ(outcomeOf(publisher), PublishOutcome::Unknown);
}

}
}
