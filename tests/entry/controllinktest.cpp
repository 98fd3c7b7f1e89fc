#include "entry/controllink.h"
#include "entrysupport/scriptedcontrol.h"

#include "lentillock.pb.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace Lentillock
{
namespace
{

class FixedVmList : public VmList
{
public:
    leaf::result<std::vector<VmListEntry>> fetch() override
    {
        return std::vector<VmListEntry>{{.id = "e1", .address = "127.0.0.1:1", .zone = ZoneId("z1"), .role = VmRole::Endpoint, .state = VmState::Leaving}};
    }
};

class ControlLinkTest : public testing::Test
{
protected:
    static ScriptedControl::View view(std::uint64_t version)
    {
        return {.configVersion = version, .sections = smallDocument("127.0.0.1:1"), .liveEndpoints = {"e1"}};
    }

    void start(std::vector<std::string> controls)
    {
        ControlLinkSettings settings{.vm = VmId("vm"), .zone = ZoneId("z1"), .incarnation = 7, .entryAddress = "127.0.0.1:1", .controls = std::move(controls)};
        settings.callTimeout = 500ms;
        link_ = std::make_unique<ControlLink>(std::move(settings),
                                              std::make_unique<FixedVmList>(),
                                              ControlLink::Sinks{.view =
                                                                     [this](EntryViewPtr received) {
                                                                         const std::lock_guard lock(mutex_);
                                                                         view_ = std::move(received);
                                                                         condition_.notify_all();
                                                                     },
                                                                 .input =
                                                                     [this](DispatchInput input) {
                                                                         const std::lock_guard lock(mutex_);
                                                                         verdict_ = std::get<ClaimDecided>(input);
                                                                         condition_.notify_all();
                                                                     }},
                                              metrics_);
    }

    bool waitForView(const std::function<bool(const ServingView &)> &condition, milliseconds timeout = milliseconds(5000))
    {
        std::unique_lock lock(mutex_);
        return condition_.wait_for(lock, timeout, [&] { return view_ != nullptr && condition(*view_->view); });
    }

    bool waitForVerdict()
    {
        std::unique_lock lock(mutex_);
        return condition_.wait_for(lock, 5s, [&] { return verdict_.has_value(); });
    }

    static RequestClaim claim()
    {
        return {RequestId("r1"), AttemptId("a1"), WorkspaceId("kpecu"), "key-1", std::chrono::steady_clock::now() + 10s};
    }

    Metrics metrics_;
    std::mutex mutex_;
    std::condition_variable condition_;
    EntryViewPtr view_;
    std::optional<ClaimDecided> verdict_;
    std::unique_ptr<ControlLink> link_;
};

// Guards against an entry that stays connected to an unresponsive control process instead of using the next one for configuration and claims.
TEST_F(ControlLinkTest, OwnControlFreezes_NextOneServes_ThenOwnOneAgain)
{
    ScriptedControl local(view(3));
    ScriptedControl next(view(4));
    start({local.address(), next.address()});
    ASSERT_TRUE(waitForView([](const ServingView &received) { return received.configVersion == 3; }));
    EXPECT_EQ(next.streams(), 0);
    local.setFrozen(true);
    ASSERT_TRUE(waitForView([](const ServingView &received) { return received.configVersion == 4; }, 2500ms));
    link_->post(claim());
    ASSERT_TRUE(waitForVerdict());
    EXPECT_EQ(verdict_->verdict, ClaimVerdict::Won);
    local.setView(view(5));
    local.setFrozen(false);
    EXPECT_TRUE(waitForView([](const ServingView &received) { return received.configVersion == 5; }));
}

// Guards against a configuration that reverts when the next control process has an older one.
TEST_F(ControlLinkTest, NextControlHasAnOlderConfiguration_ConfigurationStays)
{
    auto local = std::make_unique<ScriptedControl>(view(9));
    const ScriptedControl next(view(4));
    start({local->address(), next.address()});
    ASSERT_TRUE(waitForView([](const ServingView &received) { return received.configVersion == 9; }));
    local.reset();
    const TimePoint before = std::chrono::steady_clock::now();
    ASSERT_TRUE(waitForView([&](const ServingView &received) { return received.receivedAt > before + 300ms && next.streams() > 0; }));
    const std::lock_guard lock(mutex_);
    EXPECT_EQ(view_->view->configVersion, 9U);
}

// Guards against dispatching requests to a leaving endpoint while no control process responds.
TEST_F(ControlLinkTest, NoControlAnswers_VmListMarksLeavingEndpoints_ViewKeepsItsAge)
{
    auto local = std::make_unique<ScriptedControl>(view(1));
    start({local->address()});
    ASSERT_TRUE(waitForView([](const ServingView &received) { return received.configVersion == 1; }));
    local.reset();
    ASSERT_TRUE(waitForView([](const ServingView &received) { return received.endpoints.at(EndpointId("e1")).health == EndpointHealth::Leaving; }));
    EXPECT_FALSE(link_->isConnected());
    const std::lock_guard lock(mutex_);
    EXPECT_GT(std::chrono::steady_clock::now() - view_->view->receivedAt, 50ms);
}

TEST_F(ControlLinkTest, FirstControlDoesNotAnswerTheClaim_NextOneIsAsked)
{
    ScriptedControl local(view(1));
    ScriptedControl next(view(1));
    start({local.address(), next.address()});
    ASSERT_TRUE(waitForView([](const ServingView &) { return true; }));
    local.setFrozen(true);
    next.setClaimHandler([](const auto &, auto &reply) {
        reply.set_verdict(lentillock::rpc::CLAIM_VERDICT_LOST);
        reply.set_winner_state(lentillock::rpc::RUN_STATE_RAN);
    });
    link_->post(claim());
    ASSERT_TRUE(waitForVerdict());
    EXPECT_EQ(verdict_->verdict, ClaimVerdict::Lost);
    EXPECT_EQ(verdict_->winnerState, RunState::Ran);
}

TEST_F(ControlLinkTest, Outcome_IsSettledBeforeTheLinkIsIdle)
{
    ScriptedControl local(view(1));
    start({local.address()});
    ASSERT_TRUE(waitForView([](const ServingView &) { return true; }));
    local.setFrozen(true);
    link_->post(RecordOutcome{AttemptId("a1"), WorkspaceId("kpecu"), "key-1", RunState::Ran});
    EXPECT_FALSE(link_->isIdle());
    local.setFrozen(false);
    for (int i = 0; i < 300 && !link_->isIdle(); ++i) {
        std::this_thread::sleep_for(10ms);
    }
    EXPECT_TRUE(link_->isIdle());
    EXPECT_THAT(local.calls(), testing::Contains("RecordOutcome key-1 RUN_STATE_RAN"));
}

}
}
