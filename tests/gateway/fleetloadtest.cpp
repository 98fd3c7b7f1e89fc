#include "gateway/fleetload.h"

#include "gateway/datagramchecksum.h"
#include "gateway/loadreportcodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

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

    static EndpointLoadReport entry(double requests)
    {
        EndpointLoad load;
        load.requests = requests;
        return {endpointHash(Endpoint), load};
    }

    double totalRequests(TimePoint now)
    {
        return load_.totalLoad(Endpoint, now).requests;
    }

    TimePoint start_ = TimePoint(1000s);
    FleetLoad load_;
    FleetLoad peer_;
};

GroupDigestMessage sampleDigest()
{
    GroupDigestMessage message{.group = {.zone = 1, .splitBits = 2, .part = 3}, .target = {.zone = 4}, .reporterHash = 5};
    message.number = {.incarnation = 6, .sequence = 7};
    message.mustForward = true;
    message.vmCount = 39;
    message.view = {.planVersion = 12, .endpointPosition = {.era = 3, .offset = 34}, .endpointDigest = 56, .planAge = 78ms, .endpointAge = 90ms};
    message.viewOwnerIp = 8;
    message.relays = {9, 10};
    message.targetAge = 11ms;
    message.shortDemand = 12.5;
    for (std::uint32_t endpoint = 0; endpoint < MaxReportedEndpoints; ++endpoint) {
        EndpointLoad load;
        load.requests = endpoint;
        message.loads.push_back({endpoint, load});
    }
    return message;
}

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

// Groups overlap while the VMs know different numbers of VMs. A VM must not count in both.
TEST_F(FleetLoadTest, GroupSplits_DigestOfAPart_ReplacesTheWhole)
{
    const VmGroup whole{.zone = 7};
    const VmGroup part{.zone = 7, .splitBits = 1, .part = 1};
    load_.applyGroupDigest(whole, 40, {entry(10)}, 0, start_);
    load_.applyGroupDigest({.zone = 8}, 40, {entry(5)}, 0, start_);
    EXPECT_EQ(totalRequests(start_), 15);
    load_.applyGroupDigest(part, 20, {entry(4)}, 0, start_);
    EXPECT_EQ(totalRequests(start_), 9);
    EXPECT_EQ(load_.peerCount(), 60U);
    load_.setOwnGroup({.zone = 7, .splitBits = 2, .part = 2});
    EXPECT_EQ(totalRequests(start_), 5);
}

TEST_F(FleetLoadTest, Group_StopsReporting_ItsLoadExpires)
{
    load_.applyGroupDigest({.zone = 7}, 40, {entry(10)}, 0, start_);
    load_.expirePeers(start_ + 2s);
    EXPECT_EQ(totalRequests(start_ + 2s), 10);
    load_.expirePeers(start_ + 3s);
    EXPECT_EQ(totalRequests(start_ + 3s), 0);
    EXPECT_EQ(load_.peerCount(), 0U);
}

TEST_F(FleetLoadTest, GroupDigest_OmitsAnEndpoint_ItsSumStaysUntilItExpires)
{
    load_.applyGroupDigest({.zone = 7}, 40, {entry(10)}, 0, start_);
    for (int step = 1; step <= 30; ++step) {
        load_.applyGroupDigest({.zone = 7}, 40, {}, 0, start_ + step * 100ms);
        load_.expirePeers(start_ + step * 100ms);
        EXPECT_EQ(totalRequests(start_ + step * 100ms), step <= 27 ? 10 : 0) << step;
    }
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
    LoadReportMessage message{.vm = VmId("vm-1"), .number = {.incarnation = 7, .sequence = 9}, .zone = 11, .startedLongPrompt = true};
    message.view = {.planVersion = 12, .endpointPosition = {.era = 3, .offset = 34}, .endpointDigest = 56, .planAge = 78ms, .endpointAge = 90ms};
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

/// @p bytes as a VM of the version before the eras of the store encodes them.
std::string withoutEra(const std::string &bytes)
{
    std::string result(verifyChecksum(bytes).value());
    result.resize(result.size() - sizeof(std::uint32_t));
    result[3] = '4';
    appendChecksum(result);
    return result;
}

// Guards against a fleet that falls apart while it is updated.
TEST(LoadReportCodecTest, MessagesStateNoEra_AreDecoded_TheirEra_IsUnknown)
{
    LoadReportMessage report{.vm = VmId("vm-1"), .number = {.incarnation = 7, .sequence = 9}, .zone = 11};
    report.view.endpointPosition = {.era = 3, .offset = 34};
    GroupDigestMessage digest = sampleDigest();
    const std::string oldReport = withoutEra(encodeLoadReport(report));
    const std::string oldDigest = withoutEra(encodeGroupDigest(digest));
    report.view.endpointPosition.era = 0;
    digest.view.endpointPosition.era = 0;
    EXPECT_EQ(decodeLoadReport(oldReport), report);
    EXPECT_EQ(decodeGroupDigest(oldDigest), digest);
}

TEST(LoadReportCodecTest, Digest_IsEncodedAndDecoded_IsUnchanged)
{
    const GroupDigestMessage message = sampleDigest();
    EXPECT_EQ(decodeGroupDigest(encodeGroupDigest(message)), message);
}

TEST(LoadReportCodecTest, Datagram_IsTruncatedOrOfAnotherFormat_IsIgnored)
{
    const std::string bytes = encodeLoadReport({.vm = VmId("vm-1"), .number = {.sequence = 9}});
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        EXPECT_FALSE(decodeLoadReport(bytes.substr(0, length)).has_value());
    }
    EXPECT_FALSE(decodeLoadReport("XXXX" + bytes.substr(4)).has_value());
    EXPECT_FALSE(decodeGroupDigest(bytes).has_value());
    EXPECT_FALSE(decodeLoadReport(bytes + 'x').has_value());
}

TEST(LoadReportCodecTest, Datagram_HasAnyChangedByte_IsIgnored)
{
    std::string report = encodeLoadReport({.vm = VmId("vm-1"), .number = {.sequence = 9}, .loads = sampleDigest().loads});
    for (char &byte : report) {
        byte = static_cast<char>(byte ^ 0x10);
        EXPECT_FALSE(decodeLoadReport(report).has_value());
        byte = static_cast<char>(byte ^ 0x10);
    }
    std::string digest = encodeGroupDigest(sampleDigest());
    for (char &byte : digest) {
        byte = static_cast<char>(byte ^ 0x10);
        EXPECT_FALSE(decodeGroupDigest(digest).has_value());
        byte = static_cast<char>(byte ^ 0x10);
    }
}

RC_GTEST_PROP(LoadReportCodecTest, AnyBytes_AreDecoded_NothingIsAccepted, (const std::string &bytes))
{
    RC_ASSERT(!decodeLoadReport(bytes).has_value() && !decodeLoadReport("LTL4" + bytes).has_value());
    RC_ASSERT(!decodeGroupDigest(bytes).has_value() && !decodeGroupDigest("LTD4" + bytes).has_value());
}

}
