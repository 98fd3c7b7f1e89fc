#include "config/configsimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace Lentillock
{
namespace
{

std::string modelsText(int version)
{
    return R"({"models":[{"id":"m","version":")" + std::to_string(version) + R"(","maxTokens":1000000}]})";
}

/// Returns a section and a text for it, which may be invalid. @p choice selects both.
std::pair<std::string, std::string> chosenPublish(int choice)
{
    const SectionTexts texts = sampleTexts();
    switch (choice % 5) {
    case 0:
        return {"models", modelsText(choice)};
    case 1:
        return {"models", R"({"models":[]})"};
    case 2:
        return {"zones", texts.at("zones") + std::string(static_cast<std::size_t>(choice), ' ')};
    case 3:
        return {"endpoints", R"({"endpoints":[]})"};
    default:
        return {"endpoints", texts.at("endpoints") + std::string(static_cast<std::size_t>(choice), ' ')};
    }
}

void checkVersions(ConfigSimulation &simulation)
{
    for (const auto &vm : simulation.vms()) {
        const ConfigStateMachine *stateInForce = vm->follower().stateInForce();
        RC_ASSERT_FALSE(vm->versionDecreased());
        RC_ASSERT(vm->follower().version() == (stateInForce == nullptr ? 0 : stateInForce->version()));
    }
}

void checkConvergence(ConfigSimulation &simulation)
{
    const ConfigStateMachine expectedState = simulation.expectedState();
    for (const auto &vm : simulation.vms()) {
        RC_ASSERT_FALSE(vm->versionDecreased());
        RC_ASSERT(vm->follower().isReady());
        RC_ASSERT(vm->follower().version() == expectedState.version());
        RC_ASSERT(vm->follower().stateInForce()->state().sections == expectedState.state().sections);
        RC_ASSERT(*vm->follower().document() == *expectedState.document());
    }
}

void checkReportedOutcomes(ConfigSimulation &simulation)
{
    std::map<std::string, ConfigVerdict> verdicts;
    ConfigStateMachine stateMachine;
    for (const LogRecord &record : simulation.log().history(ConfigStream)) {
        const ConfigDecision decision = stateMachine.apply(record);
        if (!decision.record.id.empty()) {
            verdicts.emplace(decision.record.id, decision.verdict);
        }
    }
    for (const auto &publisher : simulation.operators()) {
        RC_ASSERT(publisher->done().has_value());
        const auto found = verdicts.find(publisher->id());
        const bool wasAccepted = found != verdicts.end() && found->second == ConfigVerdict::Accepted;
        const PublishOutcome outcome = publisher->done()->outcome;
        if (outcome == PublishOutcome::Accepted) {
            RC_ASSERT(wasAccepted);
        } else if (outcome != PublishOutcome::Unknown) {
            RC_ASSERT_FALSE(wasAccepted);
        }
    }
}

// Guards against VMs with different configurations in force, against a version that decreases, and against an outcome reported to an operator
// that contradicts the log. Interleaves concurrent publishes with lost and delayed appends, lost replies, outages of the log and replaced VMs.
RC_GTEST_PROP(ConfigFollowerProperty, ConcurrentPublishesAndFaults_AllReplicasConverge, ())
{
    ConfigSimulation simulation;
    simulation.publishSample();
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::inRange(0, 100)));
    for (const auto &[kind, choice] : steps) {
        const auto index = static_cast<std::size_t>(choice);
        if (kind == 0) {
            const auto [section, text] = chosenPublish(choice);
            simulation.publish(section, text);
            const auto [otherSection, otherText] = chosenPublish(choice + 5);
            simulation.publish(otherSection, otherText);
        } else if (kind == 1) {
            simulation.log().addAppendFault(static_cast<FakeLogService::AppendFault>(choice % 4));
        } else if (kind == 2) {
            simulation.log().setOutage(choice % 2 == 0);
        } else if (kind == 3) {
            simulation.log().flushDelayed();
        } else if (kind == 4 && choice % 4 == 0) {
            simulation.replaceVm(index % simulation.vms().size());
        } else if (kind == 5) {
            simulation.gossip();
        } else if (kind < 9) {
            simulation.runOperator(index % simulation.operators().size());
        } else {
            simulation.runVm(index % simulation.vms().size());
        }
        simulation.advance(milliseconds(choice * 20));
        checkVersions(simulation);
    }
    simulation.log().setOutage(false);
    simulation.runFor();
    simulation.log().flushDelayed();
    simulation.runFor(5s);
    checkConvergence(simulation);
    checkReportedOutcomes(simulation);
}

// Guards against losing the configuration when its records expire, and against VMs that start from a partly expired log with an outdated
// configuration or none.
RC_GTEST_PROP(ConfigFollowerProperty, RecordsExpire_ConfigurationIsKept, ())
{
    constexpr milliseconds retention = 80s;
    ConfigSimulation simulation(3, retention);
    simulation.publishSample();
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 30));
    for (const int choice : steps) {
        if (choice < 5) {
            const auto [section, text] = chosenPublish(choice);
            simulation.publish(section, text);
        } else if (choice < 8) {
            simulation.replaceVm(static_cast<std::size_t>(choice) - 5);
        }
        simulation.runFor(milliseconds(1000 * choice), 500ms);
        simulation.log().expireOlderThan(ConfigStream, retention);
        checkVersions(simulation);
    }
    simulation.runFor(5s);
    checkConvergence(simulation);
}

// Guards against a new VM that starts from a snapshot and reaches a different state than the VMs that have applied the whole log.
RC_GTEST_PROP(ConfigFollowerProperty, SnapshotAndLaterRecords_GiveSameStateAsWholeLog, ())
{
    const auto choices
        = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 40), rc::gen::inRange(0, 6))));
    std::vector<LogRecord> records;
    WallTime time{1h};
    ConfigStateMachine builder;
    const auto add = [&](const std::string &data) {
        records.push_back({records.size() + 1, time, data});
        builder.apply(records.back());
    };
    const SectionTexts texts = sampleTexts();
    for (const char *name : {"zones", "models", "endpoints", "priorities", "workspaces"}) {
        add(encodeRecord(PublishRecord{1, name, name, 0, "operator", texts.at(name)}));
    }
    for (const auto &[choice, variant] : choices) {
        time += choice * 1min;
        const auto [section, text] = chosenPublish(choice);
        const std::uint64_t current = builder.section(section).version;
        if (variant == 0) {
            add("not a record");
        } else if (variant == 1) {
            add(builder.snapshotData());
        } else {
            add(encodeRecord(PublishRecord{1, "id" + std::to_string(choice), section, variant == 2 ? current - 1 : current, "operator", text}));
        }
    }
    const auto snapshotRecords = *rc::gen::inRange<std::size_t>(0, records.size() + 1);
    ConfigStateMachine full;
    std::string snapshot = full.snapshotData();
    for (std::size_t i = 0; i < records.size(); ++i) {
        full.apply(records[i]);
        if (i + 1 == snapshotRecords) {
            snapshot = full.snapshotData();
        }
    }
    Findings findings;
    std::optional<ConfigStateMachine> restored = ConfigStateMachine::restore(snapshot, findings);
    RC_ASSERT(restored.has_value());
    for (std::size_t i = snapshotRecords; i < records.size(); ++i) {
        restored->apply(records[i]);
    }
    RC_ASSERT(restored->state() == full.state());
    RC_ASSERT(restored->version() == full.version());
    RC_ASSERT(*restored->document() == *full.document());
    RC_ASSERT(restored->snapshotData() == full.snapshotData());
}

ServingDocumentPtr acceptEverything(const SectionTexts &, Findings &)
{
    return std::make_shared<const ServingDocument>();
}

ServingDocumentPtr acceptEveryChange(const ServingDocument &, const std::string &, const std::string &, Findings &)
{
    return std::make_shared<const ServingDocument>();
}

// Guards against an old binary that applies its own rules to a record to which other VMs apply newer rules: the states would differ permanently.
RC_GTEST_PROP(ConfigFollowerProperty, OldAndNewBinaries_NeverDiverge, ())
{
    std::vector<ConfigRules> newRules = knownConfigRules();
    newRules.push_back({2, acceptEverything, acceptEveryChange});
    const auto choices = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 100), rc::gen::inRange(0, 10)));
    ConfigStateMachine oldStateMachine;
    ConfigStateMachine newStateMachine(newRules);
    std::map<std::uint64_t, ConfigSnapshot> newStates{{newStateMachine.state().throughOffset, newStateMachine.state()}};
    std::uint64_t offset = FirstOffset;
    for (const auto &[choice, variant] : choices) {
        const auto [section, text] = chosenPublish(choice);
        const std::uint32_t rulesVersion = variant == 9 ? 2 : 1;
        const std::string data = variant == 8
            ? newStateMachine.snapshotData()
            : encodeRecord(PublishRecord{rulesVersion, std::to_string(offset), section, newStateMachine.section(section).version, "operator", text});
        const LogRecord record{offset++, WallTime(1h), data};
        oldStateMachine.apply(record);
        newStateMachine.apply(record);
        newStates[newStateMachine.state().throughOffset] = newStateMachine.state();
        RC_ASSERT(oldStateMachine.state() == newStates.at(oldStateMachine.state().throughOffset));
        if (!oldStateMachine.unknownRulesVersion()) {
            RC_ASSERT(oldStateMachine.state() == newStateMachine.state());
        }
    }
}

class ConfigFollowerTest : public testing::Test
{
protected:
    ConfigSimulation simulation_;
};

// Guards against losing the configuration when all VMs are replaced during an outage of the log.
TEST_F(ConfigFollowerTest, AllVmsReplacedOneByOne_DuringOutage_KeepConfiguration)
{
    simulation_.publishSample();
    simulation_.runFor(2s);
    const ConfigStateMachine before = simulation_.expectedState();
    simulation_.log().setOutage(true);
    for (std::size_t i = 0; i < 2 * simulation_.vms().size(); ++i) {
        simulation_.replaceVm(0);
        EXPECT_FALSE(simulation_.vms().back()->follower().isReady());
        simulation_.runFor(5s);
        EXPECT_TRUE(simulation_.vms().back()->follower().isReady());
    }
    for (const auto &vm : simulation_.vms()) {
        EXPECT_EQ(vm->follower().version(), before.version());
        EXPECT_EQ(*vm->follower().document(), *before.document());
    }
    simulation_.log().setOutage(false);
    simulation_.publish("models", modelsText(2));
    simulation_.runFor(5s);
    for (const auto &vm : simulation_.vms()) {
        EXPECT_EQ(vm->follower().version(), simulation_.expectedState().version());
        EXPECT_GT(vm->follower().version(), before.version());
    }
}

// Guards against a new VM that serves an outdated configuration because the log that it reads lags behind its peers.
TEST_F(ConfigFollowerTest, VmBelowVersionOfPeer_IsNotReady)
{
    ConfigFollower follower({});
    follower.handle(simulation_.now(), PeerVersionReceived{VmId("other"), 7});
    follower.handle(simulation_.now(), ConfigRead{LogBatch{{}, 1, 1}});
    EXPECT_FALSE(follower.isReady());
}

// Guards against an older configuration coming into force while a VM that was initialized from a peer reads the log from its beginning.
TEST_F(ConfigFollowerTest, LogReadSlowlyAfterStartFromPeer_VersionDoesNotDecrease)
{
    simulation_.publishSample();
    const ConfigStateMachine expectedState = simulation_.expectedState();
    ConfigFollower follower({});
    follower.handle(simulation_.now(), PeerVersionReceived{VmId("other"), expectedState.version()});
    follower.handle(simulation_.now(), PeerConfigFetched{expectedState.snapshotData()});
    EXPECT_TRUE(follower.isReady());
    const std::vector<LogRecord> &history = simulation_.log().history(ConfigStream);
    for (const LogRecord &record : history) {
        follower.handle(simulation_.now(), ConfigRead{LogBatch{{record}, record.offset + 1, FirstOffset}});
        EXPECT_EQ(follower.version(), expectedState.version());
        EXPECT_EQ(*follower.document(), *expectedState.document());
    }
}

// Guards against taking all running VMs out of service at once when a peer reports a new version during an outage of the log.
TEST_F(ConfigFollowerTest, ReadyVm_ReceivesNewPeerVersionDuringOutage_StaysReadyAndRaisesAlarm)
{
    simulation_.publishSample();
    simulation_.runFor(2s);
    simulation_.log().setOutage(true);
    SimulatedVm &vm = *simulation_.vms()[0];
    vm.handle(simulation_.now(), PeerVersionReceived{VmId("gone"), 99});
    simulation_.runFor(10s);
    EXPECT_TRUE(vm.follower().isReady());
    EXPECT_EQ(vm.follower().alarms().size(), 1U);
}

// Guards against a log that lacks an initial state for new VMs: the only copies of the configuration would be in the memory of VMs, which may
// be replaced at any time.
TEST_F(ConfigFollowerTest, LogExpiredCompletely_RunningVms_WriteSnapshotSoon)
{
    simulation_.publishSample();
    simulation_.runFor(2s);
    const ConfigStateMachine before = simulation_.expectedState();
    simulation_.log().expireBelow(ConfigStream, before.nextOffset());
    simulation_.replaceVm(0);
    simulation_.runFor(15s);
    int written = 0;
    for (const auto &vm : simulation_.vms()) {
        written += vm->snapshotsWritten();
    }
    EXPECT_EQ(written, 1);
    EXPECT_EQ(simulation_.vms().back()->follower().version(), before.version());
    EXPECT_TRUE(simulation_.vms().back()->follower().alarms().empty());
}

// Guards against a process that was not updated and diverges from newer ones: it must keep its last configuration and raise an alarm.
TEST_F(ConfigFollowerTest, RecordWithUnknownRulesVersion_KeepsConfigurationAndRaisesAlarm)
{
    simulation_.publishSample();
    simulation_.runFor(2s);
    const std::uint64_t version = simulation_.expectedState().version();
    const std::string data = encodeRecord(PublishRecord{2, "new", "models", 2, "operator", R"({"models":[]})"});
    ASSERT_TRUE(simulation_.log().append(ConfigStream, {data}, 1s));
    simulation_.runFor(2s);
    for (const auto &vm : simulation_.vms()) {
        EXPECT_EQ(vm->follower().version(), version);
        EXPECT_TRUE(vm->follower().isReady());
        EXPECT_EQ(vm->follower().alarms().size(), 1U);
    }
}

// Guards against every VM of a fleet writing the same snapshot.
TEST_F(ConfigFollowerTest, SnapshotBecomesDue_FewVmsWriteIt)
{
    ConfigSimulation simulation(20, 1000s);
    simulation.publishSample();
    simulation.runFor(400s, 500ms);
    int written = 0;
    for (const auto &vm : simulation.vms()) {
        written += vm->snapshotsWritten();
    }
    EXPECT_GE(written, 1);
    EXPECT_LE(written, 3);
}

}
}
