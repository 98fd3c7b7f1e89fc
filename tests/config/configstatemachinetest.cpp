#include "config/configstatemachine.h"
#include "config/sampledocument.h"

#include <gtest/gtest.h>

namespace Lentillock
{
namespace
{

class ConfigStateMachineTest : public testing::Test
{
protected:
    LogRecord nextRecord(std::string data, milliseconds elapsed = 1ms)
    {
        time_ += elapsed;
        return {offset_++, time_, std::move(data)};
    }

    ConfigDecision publish(const std::string &section, std::uint64_t base, const std::string &text, const std::string &id = {}, milliseconds elapsed = 1ms)
    {
        const PublishRecord record{1, id.empty() ? "id" + std::to_string(offset_) : id, section, base, "operator", text};
        return stateMachine_.apply(nextRecord(encodeRecord(record), elapsed));
    }

    void publishSample()
    {
        const SectionTexts texts = sampleTexts();
        for (const char *name : {"zones", "models", "endpoints", "priorities", "workspaces"}) {
            ASSERT_EQ(publish(name, 0, texts.at(name)).verdict, ConfigVerdict::Accepted) << name;
        }
    }

    ConfigStateMachine stateMachine_;
    std::uint64_t offset_ = FirstOffset;
    WallTime time_{1'000'000ms};
};

TEST_F(ConfigStateMachineTest, AcceptedRecord_GivesSectionAndDocumentVersion)
{
    publishSample();
    EXPECT_EQ(stateMachine_.version(), 5U);
    EXPECT_EQ(stateMachine_.section("models").version, 2U);
    EXPECT_EQ(stateMachine_.document()->workspaces.size(), 1U);
}

// Guards against a lost update: two operators edit the same version, and the second publish silently overwrites the first.
TEST_F(ConfigStateMachineTest, StaleBase_IsRejectedWithBothTexts)
{
    publishSample();
    const std::string first = R"({"models":[{"id":"m","version":"2","maxTokens":10}]})";
    const std::string second = R"({"models":[{"id":"m","version":"3","maxTokens":10}]})";
    EXPECT_EQ(publish("models", 2, first).verdict, ConfigVerdict::Accepted);
    const ConfigDecision conflict = publish("models", 2, second);
    EXPECT_EQ(conflict.verdict, ConfigVerdict::Conflict);
    EXPECT_EQ(conflict.currentVersion, 6U);
    EXPECT_EQ(conflict.currentText, first);
    EXPECT_EQ(conflict.record.text, second);
    EXPECT_EQ(stateMachine_.section("models").text, first);
    EXPECT_EQ(stateMachine_.version(), 6U);
}

TEST_F(ConfigStateMachineTest, InvalidRecord_IsRejectedAndKeepsDocument)
{
    publishSample();
    const ServingDocumentPtr before = stateMachine_.document();
    const ConfigDecision decision = publish("models", 2, R"({"models":[]})");
    EXPECT_EQ(decision.verdict, ConfigVerdict::Invalid);
    EXPECT_TRUE(decision.findings.hasErrors());
    EXPECT_EQ(stateMachine_.document(), before);
    EXPECT_EQ(stateMachine_.version(), 5U);
}

// Guards against a rejected record that takes effect when a delayed or repeated append writes it again, after its author was told that it was
// rejected.
TEST_F(ConfigStateMachineTest, RejectedRecord_AppendedAgainWhenValid_ChangesNothing)
{
    const std::string endpoints = sampleTexts().at("endpoints");
    EXPECT_EQ(publish("endpoints", 0, endpoints, "x").verdict, ConfigVerdict::Invalid);
    publish("zones", 0, sampleTexts().at("zones"));
    publish("models", 0, sampleTexts().at("models"));
    EXPECT_EQ(publish("endpoints", 0, endpoints, "x").verdict, ConfigVerdict::Repeated);
    EXPECT_EQ(stateMachine_.section("endpoints").version, 0U);
    EXPECT_EQ(publish("endpoints", 0, endpoints, "y").verdict, ConfigVerdict::Accepted);
}

// Guards against a replica that stops at malformed data, or that handles it differently from other replicas.
TEST_F(ConfigStateMachineTest, MalformedRecords_ChangeNothing)
{
    publishSample();
    const ServingDocumentPtr before = stateMachine_.document();
    for (const char *data : {"",
                             "{",
                             "[]",
                             "{}",
                             R"({"rulesVersion":0})",
                             R"({"rulesVersion":1})",
                             R"({"rulesVersion":1,"type":"publish"})",
                             R"({"rulesVersion":1,"type":"publish","id":"z","section":"zones","base":-1,"text":"{}"})",
                             R"({"rulesVersion":1,"type":"publish","id":"z","section":"zones","base":1,"text":"{}","more":1})"}) {
        EXPECT_EQ(stateMachine_.apply(nextRecord(data)).verdict, ConfigVerdict::Malformed) << data;
    }
    EXPECT_EQ(stateMachine_.document(), before);
    EXPECT_EQ(stateMachine_.nextOffset(), offset_);
}

// Guards against an old binary that skips a record with an unsupported rules version: its state would permanently differ from that of newer
// binaries.
TEST_F(ConfigStateMachineTest, UnknownRulesVersion_StopsTheStateMachine)
{
    publishSample();
    const std::string data = encodeRecord(PublishRecord{2, "n", "models", 2, "operator", R"({"models":[]})"});
    EXPECT_EQ(stateMachine_.apply(nextRecord(data)).verdict, ConfigVerdict::NotJudged);
    EXPECT_EQ(stateMachine_.unknownRulesVersion(), 2U);
    EXPECT_EQ(publish("zones", 1, sampleTexts().at("zones")).verdict, ConfigVerdict::NotJudged);
    EXPECT_EQ(stateMachine_.version(), 5U);
    EXPECT_EQ(stateMachine_.nextOffset(), 6U);
}

TEST_F(ConfigStateMachineTest, Snapshot_IsRestored_HasSameState)
{
    publishSample();
    Findings findings;
    std::optional<ConfigStateMachine> restored = ConfigStateMachine::restore(stateMachine_.snapshotData(), findings);
    ASSERT_TRUE(restored) << findings.toText();
    EXPECT_EQ(restored->state(), stateMachine_.state());
    EXPECT_EQ(*restored->document(), *stateMachine_.document());
    EXPECT_EQ(restored->version(), stateMachine_.version());
    EXPECT_EQ(restored->nextOffset(), stateMachine_.nextOffset());
}

// Guards against starting from a snapshot that is corrupt or was written by a faulty process.
TEST_F(ConfigStateMachineTest, CorruptSnapshot_IsNotRestored)
{
    publishSample();
    std::string data = stateMachine_.snapshotData();
    data.replace(data.find("10.0.0.1"), 8, "10.0.0.9");
    Findings findings;
    EXPECT_FALSE(ConfigStateMachine::restore(data, findings));
    EXPECT_EQ(findings.toText(), "error: record#/digest: does not match the content of the snapshot\n");
}

TEST_F(ConfigStateMachineTest, SnapshotRecords_AreComparedWithOwnState)
{
    publishSample();
    const std::string own = stateMachine_.snapshotData();
    ConfigSnapshot other = stateMachine_.state();
    other.sections["models"].text += ' ';
    EXPECT_EQ(stateMachine_.apply(nextRecord(own)).verdict, ConfigVerdict::Snapshot);
    EXPECT_EQ(stateMachine_.apply(nextRecord(own)).verdict, ConfigVerdict::Snapshot);
    EXPECT_EQ(stateMachine_.apply(nextRecord(encodeRecord(other))).verdict, ConfigVerdict::SnapshotMismatch);
    EXPECT_EQ(stateMachine_.version(), 5U);
}

// Guards against two releases that apply records of the same rules version differently or write different snapshots: during an update, VMs would
// have different configurations in force. If this test fails, the change needs a new rules version; the expected digest of version 1 must stay.
TEST_F(ConfigStateMachineTest, RulesOfVersion1_AreUnchanged)
{
    publishSample();
    publish("models", 2, R"({"models":[{"id":"m","version":"2","minEndpoints":5,"maxTokens":10}]})");
    publish("models", 2, R"({"models":[]})");
    publish("zones", 1, R"({"zones":[{"id":"a","region":"r"}]})");
    publish("workspaces", 5, R"({"workspaces":[{"id":"w","priorityClass":"high","defaultTimeoutMs":700000}]})");
    publish("priorities", 4, R"({"classes":[{"id":"high","level":1001}]})");
    publish("endpoints", 3, R"({"endpoints":[{"id":"e","address":"[::1]:1","zone":"a","model":"m","memoryTokens":1}]})");
    publish("workspaces", 5, R"({"workspaces":[{"id":"w","priorityClass":"high","models":["m"],"maxTimeoutMs":3600000}]})");
    EXPECT_EQ(stateMachine_.version(), 12U);
    EXPECT_EQ(stateMachine_.state().digest(), "0d633374dcab9a7bd65dedf761ea9b77e52fbba76bc8052059688536d67effa8");
}

// Guards against memory that grows with every publish. Ids expire by record time, so that all replicas drop the same ids.
TEST_F(ConfigStateMachineTest, OldIds_ExpireByRecordTime)
{
    publishSample();
    EXPECT_EQ(stateMachine_.state().decidedIds.size(), 5U);
    publish("zones", 1, sampleTexts().at("zones"), "late", ConfigStateMachine::DeduplicationWindow + 1h);
    EXPECT_EQ(stateMachine_.state().decidedIds.size(), 1U);
}

}
}
