#include "membership/endpointtracker.h"
#include "membership/endpointsubset.h"

#include <gtest/gtest.h>

#include <map>

namespace Lentillock
{
namespace
{

class EndpointTrackerTest : public testing::Test
{
protected:
    EndpointTrackerTest()
    {
        Endpoint endpoint;
        endpoint.id = id_;
        tracker_.setEndpoints(now_, {endpoint});
    }

    void poll(const std::string &generation, bool draining = false)
    {
        LoadReport load;
        load.generation = generation;
        load.draining = draining;
        tracker_.pollSucceeded(now_, id_, load);
    }

    EndpointHealth health()
    {
        return tracker_.find(id_)->health;
    }

    void listVmAs(VmState state)
    {
        tracker_.applyVmList({{id_.value(), "", ZoneId("a"), VmRole::Endpoint, state}});
    }

    TimePoint now_{std::chrono::hours(1)};
    EndpointId id_{"reader-1"};
    EndpointTracker tracker_;
};

// Guards against routing requests to an endpoint that has not yet answered a poll.
TEST_F(EndpointTrackerTest, NewEndpoint_BeforeFirstPoll_IsNotLive)
{
    EXPECT_EQ(health(), EndpointHealth::Suspect);
    poll("g1");
    EXPECT_EQ(health(), EndpointHealth::Live);
}

// Guards against routing requests to a draining endpoint, whichever source reported it, after another source shows it as live.
TEST_F(EndpointTrackerTest, EndpointIsLeaving_AnySourceContradicts_StaysLeavingUntilNewGeneration)
{
    const std::map<std::string, std::function<void()>> sources{
        {"poll", [this] { poll("g1", true); }},
        {"list", [this] { listVmAs(VmState::Leaving); }},
        {"rumor",
         [this] {
             tracker_.applyRumor({id_, "g1", EndpointHealth::Leaving});
         }},
        {"report", [this] { tracker_.report(id_, ReportedFault::Draining, "g1"); }},
    };
    for (const auto &[name, reportLeaving] : sources) {
        SCOPED_TRACE(name);
        tracker_ = EndpointTracker();
        Endpoint endpoint;
        endpoint.id = id_;
        tracker_.setEndpoints(now_, {endpoint});
        poll("g1");
        reportLeaving();
        EXPECT_EQ(health(), EndpointHealth::Leaving);
        listVmAs(VmState::Live);
        poll("g1");
        tracker_.report(id_, ReportedFault::ConnectFailed, "g1");
        tracker_.pollFailed(now_, id_);
        EXPECT_EQ(health(), EndpointHealth::Leaving);
        poll("g2");
        EXPECT_EQ(health(), EndpointHealth::Live);
    }
}

// Guards against losing capacity because the VM list of the platform is empty or outdated.
TEST_F(EndpointTrackerTest, ListLacksEndpoint_PollsSucceed_StaysLive)
{
    poll("g1");
    tracker_.applyVmList({});
    poll("g1");
    EXPECT_EQ(health(), EndpointHealth::Live);
}

// Guards against a late report about a stopped engine that takes its successor out of service.
TEST_F(EndpointTrackerTest, ReportNamesOldGeneration_NewOneIsLive_IsIgnored)
{
    poll("g1");
    poll("g2");
    tracker_.report(id_, ReportedFault::Draining, "g1");
    tracker_.report(id_, ReportedFault::ConnectFailed, "g1");
    EXPECT_EQ(health(), EndpointHealth::Live);
}

// Guards against a broken connection of one VM that takes an endpoint out of service for the whole fleet.
TEST_F(EndpointTrackerTest, RumorOfDeadEndpoint_OwnPollsSucceed_CausesOnlyAPoll)
{
    poll("g1");
    tracker_.takeUrgentPolls();
    tracker_.applyRumor({id_, "g1", EndpointHealth::Dead});
    EXPECT_EQ(health(), EndpointHealth::Live);
    EXPECT_EQ(tracker_.takeUrgentPolls().size(), 1U);
}

// Guards against routing requests to an endpoint that no longer answers polls.
TEST_F(EndpointTrackerTest, PollsAreMissed_Repeatedly_SuspectThenDeadThenLiveAgain)
{
    poll("g1");
    tracker_.pollFailed(now_, id_);
    EXPECT_EQ(health(), EndpointHealth::Suspect);
    tracker_.pollFailed(now_, id_);
    tracker_.pollFailed(now_, id_);
    EXPECT_EQ(health(), EndpointHealth::Dead);
    poll("g1");
    EXPECT_EQ(health(), EndpointHealth::Live);
}

// Guards against a polling cost per VM that grows with the fleet, and against endpoints that no VM observes.
TEST(EndpointSubsetTest, LargeFleet_EachVmObservesABoundedPart_TogetherAll)
{
    std::vector<Endpoint> endpoints;
    for (int i = 0; i < 800; ++i) {
        Endpoint endpoint;
        endpoint.id = EndpointId("e" + std::to_string(i));
        endpoint.model = ModelId("m");
        endpoint.zone = ZoneId("z" + std::to_string(i % 16));
        endpoints.push_back(endpoint);
    }
    std::set<EndpointId> observed;
    for (int vm = 0; vm < 60; ++vm) {
        const auto subset = endpointSubset(VmId("vm" + std::to_string(vm)), endpoints);
        EXPECT_EQ(subset.size(), MaxObservedPerModel);
        for (const Endpoint &endpoint : subset) {
            observed.insert(endpoint.id);
        }
    }
    EXPECT_EQ(observed.size(), endpoints.size());
}

}
}
