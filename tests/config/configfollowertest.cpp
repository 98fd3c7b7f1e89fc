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

/// Valid and invalid texts of three sections.
std::pair<std::string, std::string> proposal(int choice)
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
        RC_ASSERT_FALSE(vm->versionFell());
        RC_ASSERT(vm->follower().version() == (stateInForce == nullptr ? 0 : stateInForce->version()));
    }
}

void checkAgreement(ConfigSimulation &simulation)
{
    const ConfigStateMachine reference = simulation.reference();
    for (const auto &vm : simulation.vms()) {
        RC_ASSERT_FALSE(vm->versionFell());
        RC_ASSERT(vm->follower().isReady());
        RC_ASSERT(vm->follower().version() == reference.version());
        RC_ASSERT(vm->follower().stateInForce()->state().sections == reference.state().sections);
        RC_ASSERT(*vm->follower().document() == *reference.document());
    }
}

void checkOperators(ConfigSimulation &simulation)
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

// Guards against two VMs that have different configurations in force, against a version that goes down, and against an operator who is
// told something else than what happened, for any interleaving of racing operators with lost, swallowed and late appends, outages of
// the log and replaced VMs.
RC_GTEST_PROP(ConfigFollowerProperty, RacingOperatorsAndFaults_AllReadersAgree, ())
{
    ConfigSimulation simulation;
    simulation.publishSample();
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::inRange(0, 100)));
    for (const auto &[kind, choice] : steps) {
        const auto index = static_cast<std::size_t>(choice);
        if (kind == 0) {
            const auto [section, text] = proposal(choice);
            simulation.publish(section, text);
            const auto [otherSection, otherText] = proposal(choice + 5);
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
    simulation.settle();
    simulation.log().flushDelayed();
    simulation.settle(5s);
    checkAgreement(simulation);
    checkOperators(simulation);
}

// Guards against a configuration that is lost because its record expires, and against VMs that start from an expired log with an older
// or no configuration.
RC_GTEST_PROP(ConfigFollowerProperty, RecordsExpire_ConfigurationIsKept, ())
{
    constexpr milliseconds retention = 80s;
    ConfigSimulation simulation(3, retention);
    simulation.publishSample();
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 30));
    for (const int choice : steps) {
        if (choice < 5) {
            const auto [section, text] = proposal(choice);
            simulation.publish(section, text);
        } else if (choice < 8) {
            simulation.replaceVm(static_cast<std::size_t>(choice) - 5);
        }
        simulation.settle(milliseconds(1000 * choice), 500ms);
        simulation.log().expireOlderThan(ConfigStream, retention);
        checkVersions(simulation);
    }
    simulation.settle(5s);
    checkAgreement(simulation);
}

// Guards against a new VM that continues differently from the VMs that have read the whole log.
RC_GTEST_PROP(ConfigFollowerProperty, SnapshotAndTail_EqualFullFold, ())
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
        const auto [section, text] = proposal(choice);
        const std::uint64_t current = builder.section(section).version;
        if (variant == 0) {
            add("not a record");
        } else if (variant == 1) {
            add(builder.snapshotData());
        } else {
            add(encodeRecord(PublishRecord{1, "id" + std::to_string(choice), section, variant == 2 ? current - 1 : current, "operator", text}));
        }
    }
    const auto cut = *rc::gen::inRange<std::size_t>(0, records.size() + 1);
    ConfigStateMachine full;
    std::string snapshot = full.snapshotData();
    for (std::size_t i = 0; i < records.size(); ++i) {
        full.apply(records[i]);
        if (i + 1 == cut) {
            snapshot = full.snapshotData();
        }
    }
    Findings findings;
    std::optional<ConfigStateMachine> restored = ConfigStateMachine::restore(snapshot, findings);
    RC_ASSERT(restored.has_value());
    for (std::size_t i = cut; i < records.size(); ++i) {
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

// Guards against an old binary that decides on a record by its own rules although the record was judged by newer ones elsewhere: the two
// would differ for good.
RC_GTEST_PROP(ConfigFollowerProperty, OldAndNewBinaries_NeverDiffer, ())
{
    std::vector<ConfigRules> newRules = knownConfigRules();
    newRules.push_back({2, acceptEverything, acceptEveryChange});
    const auto choices = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 100), rc::gen::inRange(0, 10)));
    ConfigStateMachine oldStateMachine;
    ConfigStateMachine newStateMachine(newRules);
    std::map<std::uint64_t, ConfigSnapshot> newStates{{newStateMachine.state().throughOffset, newStateMachine.state()}};
    std::uint64_t offset = FirstOffset;
    for (const auto &[choice, variant] : choices) {
        const auto [section, text] = proposal(choice);
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

// Guards against losing the configuration when the platform is down while the VMs are replaced.
TEST_F(ConfigFollowerTest, AllVmsReplacedOneByOne_DuringOutage_KeepConfiguration)
{
    simulation_.publishSample();
    simulation_.settle(2s);
    const ConfigStateMachine before = simulation_.reference();
    simulation_.log().setOutage(true);
    for (std::size_t i = 0; i < 2 * simulation_.vms().size(); ++i) {
        simulation_.replaceVm(0);
        EXPECT_FALSE(simulation_.vms().back()->follower().isReady());
        simulation_.settle(5s);
        EXPECT_TRUE(simulation_.vms().back()->follower().isReady());
    }
    for (const auto &vm : simulation_.vms()) {
        EXPECT_EQ(vm->follower().version(), before.version());
        EXPECT_EQ(*vm->follower().document(), *before.document());
    }
    simulation_.log().setOutage(false);
    simulation_.publish("models", modelsText(2));
    simulation_.settle(5s);
    for (const auto &vm : simulation_.vms()) {
        EXPECT_EQ(vm->follower().version(), simulation_.reference().version());
        EXPECT_GT(vm->follower().version(), before.version());
    }
}

// Guards against a new VM that serves an old configuration because it sees a log that lags behind its peers.
TEST_F(ConfigFollowerTest, VmBelowVersionOfPeer_IsNotReady)
{
    ConfigFollower follower({});
    follower.handle(simulation_.now(), PeerVersionReceived{VmId("other"), 7});
    follower.handle(simulation_.now(), ConfigRead{LogBatch{{}, 1, 1}});
    EXPECT_FALSE(follower.isReady());
}

// Guards against an older configuration in force while a VM that started from a peer reads the log from its beginning.
TEST_F(ConfigFollowerTest, LogReadSlowlyAfterStartFromPeer_VersionDoesNotGoDown)
{
    simulation_.publishSample();
    const ConfigStateMachine reference = simulation_.reference();
    ConfigFollower follower({});
    follower.handle(simulation_.now(), PeerVersionReceived{VmId("other"), reference.version()});
    follower.handle(simulation_.now(), PeerConfigFetched{reference.snapshotData()});
    EXPECT_TRUE(follower.isReady());
    const std::vector<LogRecord> &history = simulation_.log().history(ConfigStream);
    for (const LogRecord &record : history) {
        follower.handle(simulation_.now(), ConfigRead{LogBatch{{record}, record.offset + 1, FirstOffset}});
        EXPECT_EQ(follower.version(), reference.version());
        EXPECT_EQ(*follower.document(), *reference.document());
    }
}

// Guards against taking all running VMs out of service at once when a new version is heard of during an outage.
TEST_F(ConfigFollowerTest, ReadyVm_HearsNewVersionDuringOutage_StaysReadyAndRaisesAlarm)
{
    simulation_.publishSample();
    simulation_.settle(2s);
    simulation_.log().setOutage(true);
    SimulatedVm &vm = *simulation_.vms()[0];
    vm.handle(simulation_.now(), PeerVersionReceived{VmId("gone"), 99});
    simulation_.settle(10s);
    EXPECT_TRUE(vm.follower().isReady());
    EXPECT_EQ(vm.follower().alarms().size(), 1U);
}

// Guards against a log from which no new VM can start: the only copy of the configuration would be in the memory of VMs that may be
// replaced at any time.
TEST_F(ConfigFollowerTest, LogExpiredCompletely_RunningVms_WriteSnapshotSoon)
{
    simulation_.publishSample();
    simulation_.settle(2s);
    const ConfigStateMachine before = simulation_.reference();
    simulation_.log().expireBelow(ConfigStream, before.nextOffset());
    simulation_.replaceVm(0);
    simulation_.settle(15s);
    int written = 0;
    for (const auto &vm : simulation_.vms()) {
        written += vm->snapshotsWritten();
    }
    EXPECT_EQ(written, 1);
    EXPECT_EQ(simulation_.vms().back()->follower().version(), before.version());
    EXPECT_TRUE(simulation_.vms().back()->follower().alarms().empty());
}

// Guards against a program that differs from newer ones after its update has been forgotten: it must keep the last configuration and say so.
TEST_F(ConfigFollowerTest, RecordOfNewerRules_KeepsConfigurationAndRaisesAlarm)
{
    simulation_.publishSample();
    simulation_.settle(2s);
    const std::uint64_t version = simulation_.reference().version();
    const std::string data = encodeRecord(PublishRecord{2, "new", "models", 2, "operator", R"({"models":[]})"});
    ASSERT_TRUE(simulation_.log().append(ConfigStream, {data}, 1s));
    simulation_.settle(2s);
    for (const auto &vm : simulation_.vms()) {
        EXPECT_EQ(vm->follower().version(), version);
        EXPECT_TRUE(vm->follower().isReady());
        EXPECT_EQ(vm->follower().alarms().size(), 1U);
    }
}

// Guards against a fleet in which every VM writes the same snapshot.
TEST_F(ConfigFollowerTest, SnapshotBecomesDue_FewVmsWriteIt)
{
    ConfigSimulation simulation(20, 1000s);
    simulation.publishSample();
    simulation.settle(400s, 500ms);
    int written = 0;
    for (const auto &vm : simulation.vms()) {
        written += vm->snapshotsWritten();
    }
    EXPECT_GE(written, 1);
    EXPECT_LE(written, 3);
}

}
}
