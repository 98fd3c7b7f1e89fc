#include "dispatch/dispatcher.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

namespace Lentillock
{
namespace
{

/// Takes the first candidate, unless it is told that there is no room; predicts a fixed time.
class ScriptedPolicy : public RoutingPolicy
{
public:
    std::optional<RouteChoice>
    choose(TimePoint /*now*/, const RouteRequest &request, const std::vector<FleetState::Candidate> &candidates, std::uint64_t /*random*/) const override
    {
        if (refusing || request.promptTokens > maxPrompt || candidates.empty()) {
            return std::nullopt;
        }
        return RouteChoice{candidates.front().endpoint->id, expectedTotal, expectedTotal};
    }

    void documentChanged(const ServingDocument &document) override
    {
        links.push_back(document.links.size());
    }

    void endpointFailed(TimePoint /*now*/, const EndpointId & /*endpoint*/) override
    {
        refusing = true;
    }

    std::vector<std::size_t> links; ///< Number of links in each document that the policy was told of.
    bool refusing = false; ///< As a policy that excludes failed endpoints until their next load report.
    std::uint64_t maxPrompt = 1000;
    Duration expectedTotal = 100ms;
};

class DispatcherTest : public testing::Test
{
protected:
    DispatcherTest()
    {
        auto policy = std::make_unique<ScriptedPolicy>();
        policy_ = policy.get();
        DispatcherSettings settings;
        settings.vm = VmId("vm1");
        settings.maxQueueLength = 2;
        settings.maxFinishedTraces = 2;
        dispatcher_ = std::make_unique<Dispatcher>(settings, std::move(policy));
        auto document = std::make_shared<ServingDocument>();
        auto view = std::make_shared<ServingView>();
        for (const char *name : {"e1", "e2"}) {
            Endpoint endpoint;
            endpoint.id = EndpointId(name);
            endpoint.model = ModelId("m");
            document->endpoints.push_back(endpoint);
            view->endpoints[endpoint.id] = {endpoint.id, EndpointHealth::Live, std::nullopt, now_};
        }
        view->document = document;
        view->receivedAt = now_;
        give(ViewChanged{view});
    }

    /// A view with the workspace "a", limited to @p requestsPerSecond, and with VMs of which the first is the dispatcher's.
    void limit(double requestsPerSecond, double tokensPerSecond, std::size_t vms)
    {
        auto document = std::make_shared<ServingDocument>();
        Endpoint endpoint;
        endpoint.id = EndpointId("e1");
        endpoint.model = ModelId("m");
        document->endpoints.push_back(endpoint);
        Workspace workspace;
        workspace.id = WorkspaceId("a");
        workspace.requestsPerSecond = requestsPerSecond;
        workspace.tokensPerSecond = tokensPerSecond;
        document->workspaces.push_back(workspace);
        auto view = std::make_shared<ServingView>();
        view->document = document;
        view->endpoints[endpoint.id] = {endpoint.id, EndpointHealth::Live, std::nullopt, now_};
        for (std::size_t vm = 1; vm <= vms; ++vm) {
            MemberState member;
            member.id = VmId("vm" + std::to_string(vm));
            view->members.push_back(member);
        }
        view->receivedAt = now_;
        give(ViewChanged{view});
    }

    /// How many of @p requests that arrive during 10 s are admitted.
    std::size_t admitted(std::size_t requests, const std::string &workspace)
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < requests; ++i) {
            now_ += duration_cast<Duration>(10s) / requests;
            give(ViewConfirmed{});
            arrive("w" + std::to_string(i), 1, workspace);
            count += first<StartAttempt>() != nullptr ? 1 : 0;
            give(CallerDisconnected{RequestId("w" + std::to_string(i))});
        }
        return count;
    }

    void arrive(const std::string &id, std::uint64_t tokens, const std::string &workspace = {})
    {
        auto spec = std::make_shared<RequestSpec>();
        spec->id = RequestId(id);
        spec->workspace = WorkspaceId(workspace);
        spec->model = ModelId("m");
        spec->promptTokens = tokens;
        spec->deadline = now_ + 5s;
        give(RequestArrived{spec});
    }

    void give(const DispatchInput &input)
    {
        actions_ = dispatcher_->handle(now_, input);
    }

    template<typename Action>
    [[nodiscard]] const Action *first() const
    {
        const auto found = std::find_if(actions_.begin(), actions_.end(), [](const auto &action) { return std::holds_alternative<Action>(action); });
        return found == actions_.end() ? nullptr : &std::get<Action>(*found);
    }

    TimePoint now_{1h};
    ScriptedPolicy *policy_ = nullptr;
    std::unique_ptr<Dispatcher> dispatcher_;
    std::vector<DispatchAction> actions_;
};

// Guards against accepting a request that will not finish within its time.
TEST_F(DispatcherTest, Request_PredictedToEndAfterItsDeadline_IsRefusedAsNotRun)
{
    policy_->expectedTotal = 6s;
    arrive("r1", 10);
    ASSERT_NE(first<FinishRequest>(), nullptr);
    EXPECT_EQ(first<FinishRequest>()->code, "cannot_finish_in_time");
    EXPECT_EQ(first<FinishRequest>()->runState, RunState::WasNotRun);
    EXPECT_EQ(first<StartAttempt>(), nullptr);
}

// Guards against a queue without bound, and against short requests that wait behind a long one.
TEST_F(DispatcherTest, ShortRequest_BehindWaitingLongOnes_IsPlacedAndFurtherLongOnesAreRefused)
{
    arrive("long1", 200'000);
    EXPECT_TRUE(actions_.empty());
    arrive("short", 10);
    EXPECT_NE(first<StartAttempt>(), nullptr);
    arrive("long2", 200'000);
    EXPECT_TRUE(actions_.empty());
    arrive("long3", 200'000);
    ASSERT_NE(first<FinishRequest>(), nullptr);
    EXPECT_EQ(first<FinishRequest>()->code, "overloaded");
    EXPECT_TRUE(first<FinishRequest>()->retryAfter.has_value());
}

// Guards against a retry on the endpoint that has refused the request, while another one works.
TEST_F(DispatcherTest, RefusedRequest_IsRetried_OnAnotherEndpoint)
{
    arrive("r1", 10);
    const StartAttempt refused = *first<StartAttempt>();
    give(AttemptFailed{refused.attempt, AttemptFailure::RefusedNotRun, 503, "full"});
    now_ += 50ms;
    actions_ = dispatcher_->advance(now_);
    ASSERT_NE(first<StartAttempt>(), nullptr);
    EXPECT_NE(first<StartAttempt>()->endpoint, refused.endpoint);
    EXPECT_NE(first<StartAttempt>()->attempt, refused.attempt);
}

// Guards against explanations that grow without bound.
TEST_F(DispatcherTest, Explanations_OfFinishedRequests_AreKeptForTheLastOnes)
{
    for (const char *id : {"r1", "r2", "r3"}) {
        arrive(id, 10);
        give(CallerDisconnected{RequestId(id)});
    }
    EXPECT_FALSE(dispatcher_->explain(RequestId("r1"), now_).has_value());
    EXPECT_TRUE(dispatcher_->explain(RequestId("r2"), now_).has_value());
    EXPECT_TRUE(dispatcher_->explain(RequestId("r3"), now_).has_value());
}

// Guards against a policy that keeps the objectives and links of an old document, and against a rebuild of its state with each view.
TEST_F(DispatcherTest, View_WithAnotherDocument_IsToldToThePolicyOnce)
{
    EXPECT_EQ(policy_->links, std::vector<std::size_t>({0}));
    auto document = std::make_shared<ServingDocument>();
    document->links.push_back({ZoneId("z1"), ZoneId("z2"), 10ms, 1});
    auto view = std::make_shared<ServingView>();
    view->document = document;
    view->receivedAt = now_;
    give(ViewChanged{view});
    give(ViewChanged{std::make_shared<ServingView>(*view)});
    EXPECT_EQ(policy_->links, std::vector<std::size_t>({0, 1}));
}

// Guards against a service endpoint that gets no calls for ever after one refused connection, as no load report shows that it is back.
TEST_F(DispatcherTest, ServiceEndpoint_HasRefusedAConnection_IsTriedAgain)
{
    auto document = std::make_shared<ServingDocument>();
    Endpoint endpoint;
    endpoint.id = EndpointId("s1");
    endpoint.kind = EndpointKind::Service;
    endpoint.pathPrefix = "/ledger";
    document->endpoints.push_back(endpoint);
    auto view = std::make_shared<ServingView>();
    view->document = document;
    view->endpoints[endpoint.id] = {endpoint.id, EndpointHealth::Live, std::nullopt, now_};
    view->receivedAt = now_;
    give(ViewChanged{view});
    auto spec = std::make_shared<RequestSpec>();
    spec->id = RequestId("r1");
    spec->kind = RequestKind::Service;
    spec->path = "/ledger/balance";
    spec->deadline = now_ + 5s;
    give(RequestArrived{spec});
    ASSERT_NE(first<StartAttempt>(), nullptr);
    give(AttemptFailed{first<StartAttempt>()->attempt, AttemptFailure::NotConnected, 0, "refused"});
    now_ += 100ms;
    actions_ = dispatcher_->advance(now_);
    EXPECT_NE(first<StartAttempt>(), nullptr);
}

// Guards against requests that wait in vain: one whose predicted wait takes most of its time is refused before it is queued.
TEST_F(DispatcherTest, Request_BehindMoreWorkThanLeavesTheQueueInItsTime_IsRefusedEarly)
{
    arrive("placed", 100);
    ASSERT_NE(first<StartAttempt>(), nullptr);
    arrive("waiting", 2000);
    EXPECT_TRUE(actions_.empty());
    arrive("late", 2000);
    const FinishRequest *refusal = first<FinishRequest>();
    ASSERT_NE(refusal, nullptr);
    EXPECT_EQ(refusal->request, RequestId("late"));
    EXPECT_EQ(refusal->status, 429);
    EXPECT_EQ(refusal->code, "overloaded");
    EXPECT_EQ(refusal->runState, RunState::WasNotRun);
    // 100 tokens with a half-life of 60 s leave at 1.155/s: a wait of 1731 s, of which 3.5 s are allowed.
    ASSERT_TRUE(refusal->retryAfter.has_value());
    EXPECT_NEAR(static_cast<double>(refusal->retryAfter->count()), 1'728'000, 1'000);
}

// Guards against a prediction from no data: before any work has left the queue only its length limits it.
TEST_F(DispatcherTest, Request_BeforeAnyWorkHasLeftTheQueue_IsNotRefusedEarly)
{
    arrive("waiting", 2000);
    arrive("next", 2000);
    EXPECT_TRUE(actions_.empty());
}

// Guards against limits that are configured but not in force.
TEST_F(DispatcherTest, Workspace_AboveItsRequestRate_IsRefusedAsNotRunWithRetryAfter)
{
    limit(1, 0, 1);
    arrive("r1", 1, "a");
    ASSERT_NE(first<StartAttempt>(), nullptr);
    arrive("r2", 1, "a");
    const FinishRequest *refusal = first<FinishRequest>();
    ASSERT_NE(refusal, nullptr);
    EXPECT_EQ(refusal->request, RequestId("r2"));
    EXPECT_EQ(refusal->status, 429);
    EXPECT_EQ(refusal->code, "rate_limited");
    EXPECT_EQ(refusal->runState, RunState::WasNotRun);
    ASSERT_TRUE(refusal->retryAfter.has_value());
    EXPECT_GT(*refusal->retryAfter, 0ms);
    EXPECT_LE(*refusal->retryAfter, 60s);
    arrive("other", 1, "b");
    EXPECT_NE(first<StartAttempt>(), nullptr);
}

// Guards against a token limit that is configured but not in force.
TEST_F(DispatcherTest, Workspace_AboveItsTokenRate_IsRefused)
{
    limit(0, 10, 1);
    arrive("r1", 500, "a");
    ASSERT_NE(first<StartAttempt>(), nullptr);
    arrive("r2", 1, "a");
    ASSERT_NE(first<FinishRequest>(), nullptr);
    EXPECT_EQ(first<FinishRequest>()->code, "rate_limited");
}

// Guards against a limit that grows with the number of VMs: with four, each one admits its equal part, and one that has lost the others half.
TEST_F(DispatcherTest, Workspace_OnOneOfFourVms_GetsAnEqualPartOfItsRate)
{
    limit(20, 0, 4);
    const std::size_t equalPart = admitted(1000, "a");
    EXPECT_GE(equalPart, 45U);
    EXPECT_LE(equalPart, 60U);
    limit(20, 0, 1);
    const std::size_t alone = admitted(1000, "a");
    EXPECT_GE(alone, 80U);
    EXPECT_LE(alone, 110U);
}

}
}
