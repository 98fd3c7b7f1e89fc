#include "gateway/fleetload.h"
#include "gateway/loadreportcodec.h"

#include <gtest/gtest.h>

namespace Lentillock
{

namespace
{

const EndpointId Endpoint("e");

class FleetLoadTest : public testing::Test
{
protected:
    static WorkItem longItem(double prefillMs)
    {
        return {.prefillMs = prefillMs, .memoryTokens = 1000, .role = WorkRole::LongPrompt};
    }

    TimePoint start_ = TimePoint(1000s);
    FleetLoad load_;
    FleetLoad peer_;
};

}

// Guards against each VM aging its own prompts as if the endpoint computed those of all VMs in parallel. The VMs then underestimated the
// remaining prefill and kept sending.
TEST_F(FleetLoadTest, TwoVmsSendPrompts_TimePasses_PrefillsAreSequential)
{
    load_.begin(Endpoint, longItem(1000), start_);
    peer_.begin(Endpoint, longItem(1000), start_);
    load_.applyPeerReport(VmId("peer"), peer_.ownReport(start_ + 500ms), 0, start_ + 500ms);
    EXPECT_NEAR(load_.totalLoad(Endpoint, start_ + 500ms).remainingPrefillMs(), 1500, 1);
}

TEST_F(FleetLoadTest, PrefillIsFinished_NoPrefillRemains)
{
    const auto ticket = load_.begin(Endpoint, longItem(1000), start_);
    load_.finishPrefill(ticket);
    EXPECT_EQ(load_.ownLoad(Endpoint, start_).remainingPrefillMs(), 0);
    EXPECT_EQ(load_.ownLoad(Endpoint, start_).longRequests, 1);
    load_.end(ticket);
    EXPECT_EQ(load_.ownLoad(Endpoint, start_).requests, 0);
}

TEST_F(FleetLoadTest, Helper_ComputesAPart_IsNotCountedAsRequest)
{
    load_.begin(Endpoint, {.prefillMs = 100, .role = WorkRole::Helper}, start_);
    const EndpointLoad load = load_.ownLoad(Endpoint, start_);
    EXPECT_EQ(load.requests, 0);
    EXPECT_EQ(load.pendingLongPrefillMs, 100);
}

TEST_F(FleetLoadTest, AllVmsStart_NoneHasDemand_PeersAreIncludedAfterWait)
{
    EXPECT_FALSE(load_.includesPeers(start_));
    load_.setExpectedPeers(1, start_);
    load_.applyPeerReport(VmId("peer"), {}, 0, start_ + 100ms);
    EXPECT_FALSE(load_.includesPeers(start_ + 100ms));
    EXPECT_TRUE(load_.includesPeers(start_ + 1100ms));
}

TEST_F(FleetLoadTest, OneVmStarts_MostOthersReportDemand_PeersAreIncluded)
{
    load_.setExpectedPeers(3, start_);
    load_.applyPeerReport(VmId("first"), {}, 5, start_ + 10ms);
    EXPECT_FALSE(load_.includesPeers(start_ + 10ms));
    load_.applyPeerReport(VmId("second"), {}, 5, start_ + 20ms);
    load_.applyPeerReport(VmId("third"), {}, 5, start_ + 20ms);
    EXPECT_TRUE(load_.includesPeers(start_ + 20ms));
}

// The load of a VM that has failed must not keep requests away from endpoints for long.
TEST_F(FleetLoadTest, Peer_StopsReporting_ItsLoadExpires)
{
    peer_.begin(Endpoint, longItem(1000), start_);
    load_.applyPeerReport(VmId("peer"), peer_.ownReport(start_), 0, start_);
    load_.expirePeers(start_ + 3s);
    EXPECT_EQ(load_.totalLoad(Endpoint, start_ + 3s).requests, 0);
    EXPECT_EQ(load_.peerCount(), 0U);
}

TEST_F(FleetLoadTest, ShortRequestsArrive_DemandFollowsRateAndLength)
{
    TimePoint now = start_;
    for (int index = 0; index < 100; ++index) {
        now += 50ms;
        load_.begin(Endpoint, {.prefillMs = 30, .decodeMs = 2000}, now);
    }
    EXPECT_NEAR(load_.ownShortDemand(now), 40, 3);
    EXPECT_LT(load_.ownShortDemand(now + 3s), 1);
}

TEST(LoadReportCodecTest, Report_IsEncodedAndDecoded_IsUnchanged)
{
    LoadReportMessage message{.vm = VmId("vm-1"), .sequence = 9};
    message.view = {.planVersion = 12, .endpointOffset = 34, .endpointDigest = 56, .planAge = 78ms, .endpointAge = 90ms};
    message.shortDemand = 12.5;
    EndpointLoad load{.requests = 3,
                      .shortRequests = 2,
                      .longRequests = 1,
                      .pendingPrefillMs = 400,
                      .pendingLongPrefillMs = 300,
                      .oldestPendingPrefillAgeMs = 20,
                      .memoryTokens = 5000};
    message.loads.push_back({endpointHash(Endpoint), load});
    EXPECT_EQ(decodeLoadReport(encodeLoadReport(message)), message);
}

TEST(LoadReportCodecTest, Datagram_IsTruncatedOrOfAnotherFormat_IsIgnored)
{
    const std::string bytes = encodeLoadReport({.vm = VmId("vm-1"), .sequence = 9});
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        EXPECT_FALSE(decodeLoadReport(bytes.substr(0, length)).has_value());
    }
    EXPECT_FALSE(decodeLoadReport("XXXX" + bytes.substr(4)).has_value());
}

}
