#include "dispatch/dispatcher.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

namespace Lentillock
{
namespace
{

/// Chooses the first candidate unless it is configured to reject the request, and predicts a fixed duration.
class ScriptedPolicy : public RoutingPolicy
{
public:
    std::optional<RouteChoice>
    choose(TimePoint /*now*/, const RouteRequest &request, const std::vector<FleetState::Candidate> &candidates, std::uint64_t /*random*/) const override
    {
        if (rejectAll || request.promptTokens > maxPrompt || candidates.empty()) {
            return std::nullopt;
        }
        return RouteChoice{candidates.front().endpoint->id, expectedTotal, expectedTotal};
    }

    void documentChanged(const ServingDocument &document) override
    {
        linkCounts.push_back(document.links.size());
    }

    void endpointFailed(TimePoint /*now*/, const EndpointId & /*endpoint*/) override
    {
        rejectAll = true;
    }

    std::vector<std::size_t> linkCounts; ///< Number of links in each document passed to documentChanged().
    bool rejectAll = false; ///< Set by endpointFailed(), like a policy that excludes failed endpoints until their next load report.
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
        send(ViewChanged{view});
    }

    /// Sends a view with workspace "a", which has the given rate limits, and with @p vms VMs, of which the first is the dispatcher's.
    void setWorkspaceLimits(double requestsPerSecond, double tokensPerSecond, std::size_t vms)
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
        send(ViewChanged{view});
    }

    /// Spreads @p requests over 10 s and returns the number of admitted ones.
    std::size_t countAdmitted(std::size_t requests, const std::string &workspace)
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < requests; ++i) {
            now_ += duration_cast<Duration>(10s) / requests;
            send(ViewConfirmed{});
            sendRequest("w" + std::to_string(i), 1, workspace);
            count += firstAction<StartAttempt>() != nullptr ? 1 : 0;
            send(CallerDisconnected{RequestId("w" + std::to_string(i))});
        }
        return count;
    }

    void sendRequest(const std::string &id, std::uint64_t tokens, const std::string &workspace = {})
    {
        auto spec = std::make_shared<RequestSpec>();
        spec->id = RequestId(id);
        spec->workspace = WorkspaceId(workspace);
        spec->model = ModelId("m");
        spec->promptTokens = tokens;
        spec->deadline = now_ + 5s;
        send(RequestArrived{spec});
    }

    void send(const DispatchInput &input)
    {
        actions_ = dispatcher_->handle(now_, input);
    }

    template<typename Action>
    [[nodiscard]] const Action *firstAction() const
    {
        const auto found = std::find_if(actions_.begin(), actions_.end(), [](const auto &action) { return std::holds_alternative<Action>(action); });
        return found == actions_.end() ? nullptr : &std::get<Action>(*found);
    }

    TimePoint now_{1h};
    ScriptedPolicy *policy_ = nullptr;
    std::unique_ptr<Dispatcher> dispatcher_;
    std::vector<DispatchAction> actions_;
};

// Guards against accepting a request that cannot finish before its deadline.
TEST_F(DispatcherTest, Request_PredictedToEndAfterItsDeadline_IsRefusedAsNotRun)
{
    policy_->expectedTotal = 6s;
    sendRequest("r1", 10);
    ASSERT_NE(firstAction<FinishRequest>(), nullptr);
    EXPECT_EQ(firstAction<FinishRequest>()->code, "cannot_finish_in_time");
    EXPECT_EQ(firstAction<FinishRequest>()->runState, RunState::WasNotRun);
    EXPECT_EQ(firstAction<StartAttempt>(), nullptr);
}

// Guards against an unbounded queue, and against short requests that are blocked by long ones ahead of them.
TEST_F(DispatcherTest, ShortRequest_BehindWaitingLongOnes_IsPlacedAndFurtherLongOnesAreRefused)
{
    sendRequest("long1", 200'000);
    EXPECT_TRUE(actions_.empty());
    sendRequest("short", 10);
    EXPECT_NE(firstAction<StartAttempt>(), nullptr);
    sendRequest("long2", 200'000);
    EXPECT_TRUE(actions_.empty());
    sendRequest("long3", 200'000);
    ASSERT_NE(firstAction<FinishRequest>(), nullptr);
    EXPECT_EQ(firstAction<FinishRequest>()->code, "overloaded");
    EXPECT_TRUE(firstAction<FinishRequest>()->retryAfter.has_value());
}

// Guards against a retry on the endpoint that refused the request while another endpoint is available.
TEST_F(DispatcherTest, RefusedRequest_IsRetried_OnAnotherEndpoint)
{
    sendRequest("r1", 10);
    const StartAttempt refused = *firstAction<StartAttempt>();
    send(AttemptFailed{refused.attempt, AttemptFailure::RefusedNotRun, 503, "full"});
    now_ += 50ms;
    actions_ = dispatcher_->advance(now_);
    ASSERT_NE(firstAction<StartAttempt>(), nullptr);
    EXPECT_NE(firstAction<StartAttempt>()->endpoint, refused.endpoint);
    EXPECT_NE(firstAction<StartAttempt>()->attempt, refused.attempt);
}

// Guards against unbounded growth of the traces of finished requests.
TEST_F(DispatcherTest, FinishedRequests_BeyondTheLimit_DropTheOldestTraces)
{
    for (const char *id : {"r1", "r2", "r3"}) {
        sendRequest(id, 10);
        send(CallerDisconnected{RequestId(id)});
    }
    EXPECT_FALSE(dispatcher_->explain(RequestId("r1"), now_).has_value());
    EXPECT_TRUE(dispatcher_->explain(RequestId("r2"), now_).has_value());
    EXPECT_TRUE(dispatcher_->explain(RequestId("r3"), now_).has_value());
}

// Guards against a policy that keeps using the objectives and links of an old document, and against rebuilding its state with each view.
TEST_F(DispatcherTest, View_WithAnotherDocument_IsPassedToThePolicyOnce)
{
    EXPECT_EQ(policy_->linkCounts, std::vector<std::size_t>({0}));
    auto document = std::make_shared<ServingDocument>();
    document->links.push_back({ZoneId("z1"), ZoneId("z2"), 10ms, 1});
    auto view = std::make_shared<ServingView>();
    view->document = document;
    view->receivedAt = now_;
    send(ViewChanged{view});
    send(ViewChanged{std::make_shared<ServingView>(*view)});
    EXPECT_EQ(policy_->linkCounts, std::vector<std::size_t>({0, 1}));
}

// Guards against a service endpoint that is excluded permanently after one refused connection. Services send no load reports that would show its
// recovery.
TEST_F(DispatcherTest, ServiceEndpoint_AfterRefusedConnection_IsRetried)
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
    send(ViewChanged{view});
    auto spec = std::make_shared<RequestSpec>();
    spec->id = RequestId("r1");
    spec->kind = RequestKind::Service;
    spec->path = "/ledger/balance";
    spec->deadline = now_ + 5s;
    send(RequestArrived{spec});
    ASSERT_NE(firstAction<StartAttempt>(), nullptr);
    send(AttemptFailed{firstAction<StartAttempt>()->attempt, AttemptFailure::NotConnected, 0, "refused"});
    now_ += 100ms;
    actions_ = dispatcher_->advance(now_);
    EXPECT_NE(firstAction<StartAttempt>(), nullptr);
}

// Guards against requests that wait in the queue until they fail. A request whose predicted wait takes most of its time is refused before it is queued.
TEST_F(DispatcherTest, Request_WithPredictedWaitBeyondItsLimit_IsRefusedBeforeQueueing)
{
    sendRequest("placed", 100);
    ASSERT_NE(firstAction<StartAttempt>(), nullptr);
    sendRequest("waiting", 2000);
    EXPECT_TRUE(actions_.empty());
    sendRequest("late", 2000);
    const FinishRequest *refusal = firstAction<FinishRequest>();
    ASSERT_NE(refusal, nullptr);
    EXPECT_EQ(refusal->request, RequestId("late"));
    EXPECT_EQ(refusal->status, 429);
    EXPECT_EQ(refusal->code, "overloaded");
    EXPECT_EQ(refusal->runState, RunState::WasNotRun);
    // 100 tokens with a half-life of 60 s give a drain rate of 1.155 tokens/s and a predicted wait of 1731 s, of which 3.5 s are allowed.
    ASSERT_TRUE(refusal->retryAfter.has_value());
    EXPECT_NEAR(static_cast<double>(refusal->retryAfter->count()), 1'728'000, 1'000);
}

// Guards against a prediction without data. Until work has left the queue, only the queue length limits admission.
TEST_F(DispatcherTest, Request_BeforeAnyWorkHasLeftTheQueue_IsQueued)
{
    sendRequest("waiting", 2000);
    sendRequest("next", 2000);
    EXPECT_TRUE(actions_.empty());
}

// Guards against request rate limits that are configured but not enforced.
TEST_F(DispatcherTest, Workspace_AboveItsRequestRate_IsRefusedAsNotRunWithRetryAfter)
{
    setWorkspaceLimits(1, 0, 1);
    sendRequest("r1", 1, "a");
    ASSERT_NE(firstAction<StartAttempt>(), nullptr);
    sendRequest("r2", 1, "a");
    const FinishRequest *refusal = firstAction<FinishRequest>();
    ASSERT_NE(refusal, nullptr);
    EXPECT_EQ(refusal->request, RequestId("r2"));
    EXPECT_EQ(refusal->status, 429);
    EXPECT_EQ(refusal->code, "rate_limited");
    EXPECT_EQ(refusal->runState, RunState::WasNotRun);
    ASSERT_TRUE(refusal->retryAfter.has_value());
    EXPECT_GT(*refusal->retryAfter, 0ms);
    EXPECT_LE(*refusal->retryAfter, 60s);
    sendRequest("other", 1, "b");
    EXPECT_NE(firstAction<StartAttempt>(), nullptr);
}

// Guards against token rate limits that are configured but not enforced.
TEST_F(DispatcherTest, Workspace_AboveItsTokenRate_IsRefused)
{
    setWorkspaceLimits(0, 10, 1);
    sendRequest("r1", 500, "a");
    ASSERT_NE(firstAction<StartAttempt>(), nullptr);
    sendRequest("r2", 1, "a");
    ASSERT_NE(firstAction<FinishRequest>(), nullptr);
    EXPECT_EQ(firstAction<FinishRequest>()->code, "rate_limited");
}

// Guards against a limit that grows with the number of VMs. With four VMs, each admits an equal share; a VM that has lost contact with the others
// admits half of the limit.
TEST_F(DispatcherTest, Workspace_OnOneOfFourVms_GetsEqualShareOfItsRate)
{
    setWorkspaceLimits(20, 0, 4);
    const std::size_t equalPart = countAdmitted(1000, "a");
    EXPECT_GE(equalPart, 45U);
    EXPECT_LE(equalPart, 60U);
    setWorkspaceLimits(20, 0, 1);
    const std::size_t alone = countAdmitted(1000, "a");
    EXPECT_GE(alone, 80U);
    EXPECT_LE(alone, 110U);
}

}
}
