#include "control/controlprocess.h"

#include "claims/idempotencykey.h"
#include "platform/httpclient.h"
#include "standins/platform/platformserver.h"

#include "lentillock.grpc.pb.h"

#include <boost/json/parse.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <grpcpp/grpcpp.h>
#include <gtest/gtest.h>

#include <thread>

namespace Lentillock
{
namespace
{

namespace rpc = ::lentillock::rpc;

/// Runs two control processes and the stand-in for the platform in this process.
class ControlProcessTest : public testing::Test
{
protected:
    ControlProcessTest()
        : platformServer_({.port = 0, .retentionRecords = 1000, .retention = 1h, .fetchesPerMinute = 1})
        , url_("http://" + platformServer_.start())
        , platformClient_(url_)
        , firstProcess_(start("vm1", {}))
        , secondProcess_(start("vm2", {firstProcess_->addresses().gossip}))
        , firstStub_(stub(*firstProcess_))
        , secondStub_(stub(*secondProcess_))
    {
    }

    ~ControlProcessTest() override
    {
        firstProcess_.reset();
        secondProcess_.reset();
        platformServer_.stop();
    }

    std::unique_ptr<ControlProcess> start(const std::string &vm, const std::vector<std::string> &seeds)
    {
        ControlSettings settings;
        settings.vm = VmId(vm);
        settings.zone = ZoneId("a");
        settings.grpc = settings.gossip = settings.operators = "127.0.0.1:0";
        settings.seeds = seeds;
        settings.log = url_;
        settings.pollInterval = 500ms;
        settings.pollTimeout = 1000ms;
        settings.claimShards = 2;
        settings.logRetention = 24h;
        settings.logRetentionRecords = 1000;
        return leaf::try_handle_all([&] { return ControlProcess::start(settings); }, [] { return std::unique_ptr<ControlProcess>(); });
    }

    static std::unique_ptr<rpc::Control::Stub> stub(const ControlProcess &process)
    {
        return rpc::Control::NewStub(grpc::CreateChannel(process.addresses().grpc, grpc::InsecureChannelCredentials()));
    }

    static void setDeadline(grpc::ClientContext &context)
    {
        context.set_deadline(std::chrono::system_clock::now() + 10s);
    }

    rpc::ClaimReply claim(rpc::Control::Stub &stub, const std::string &attempt, std::uint64_t remainingMs = 8000)
    {
        grpc::ClientContext context;
        setDeadline(context);
        rpc::ClaimRequest request;
        request.set_workspace("kingston-lc");
        request.set_key(key_);
        request.set_attempt(attempt);
        request.set_remaining_ms(remainingMs);
        rpc::ClaimReply reply;
        EXPECT_TRUE(stub.Claim(&context, request, &reply).ok());
        return reply;
    }

    bool release(rpc::Control::Stub &stub, const std::string &attempt)
    {
        grpc::ClientContext context;
        setDeadline(context);
        rpc::ReleaseRequest request;
        request.set_workspace("kingston-lc");
        request.set_key(key_);
        request.set_attempt(attempt);
        rpc::Empty reply;
        return stub.Release(&context, request, &reply).ok();
    }

    void injectFault(const std::string &fault)
    {
        const leaf::result<HttpResponse> response = platformClient_.post("/fault", fault, 2s);
        ASSERT_TRUE(response && response->status == 200);
    }

    /// Waits for at most 10 s until each control process knows the other. Returns whether they do.
    bool waitForMembers() const
    {
        for (int i = 0; i < 200; ++i) {
            const bool joined = boost::json::parse(firstProcess_->state("members")).as_array().size() == 2
                && boost::json::parse(secondProcess_->state("members")).as_array().size() == 2;
            if (joined) {
                return true;
            }
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }

    PlatformServer platformServer_;
    std::string url_;
    HttpClient platformClient_;
    std::unique_ptr<ControlProcess> firstProcess_;
    std::unique_ptr<ControlProcess> secondProcess_;
    std::unique_ptr<rpc::Control::Stub> firstStub_;
    std::unique_ptr<rpc::Control::Stub> secondStub_;
    std::string key_ = IdempotencyKey::create(std::chrono::floor<milliseconds>(std::chrono::system_clock::now()), 7).toText();
};

// Guards against two winning claims for a key that is claimed at two VMs, and against a key that stays claimed after its release.
TEST_F(ControlProcessTest, KeyIsClaimed_ThroughBothVms_OneWinsUntilItIsReleased)
{
    ASSERT_TRUE(waitForMembers());
    EXPECT_EQ(claim(*firstStub_, "a").verdict(), rpc::CLAIM_VERDICT_WON);
    const rpc::ClaimReply lost = claim(*secondStub_, "b");
    EXPECT_EQ(lost.verdict(), rpc::CLAIM_VERDICT_LOST);
    EXPECT_EQ(lost.winner_state(), rpc::RUN_STATE_UNKNOWN);
    EXPECT_TRUE(release(*secondStub_, "a"));
    EXPECT_EQ(claim(*secondStub_, "c").verdict(), rpc::CLAIM_VERDICT_WON);
    EXPECT_EQ(claim(*firstStub_, "a").verdict(), rpc::CLAIM_VERDICT_REFUSED);
}

// Guards against a claim that fails or is granted twice because replies of the log are lost.
TEST_F(ControlProcessTest, AnswersOfTheLogAreLost_ClaimIsStillWonOnce)
{
    ASSERT_TRUE(waitForMembers());
    injectFault(R"({"fault":"loseAnswers","service":"log","count":2})");
    EXPECT_EQ(claim(*firstStub_, "a").verdict(), rpc::CLAIM_VERDICT_WON);
    EXPECT_EQ(claim(*secondStub_, "b").verdict(), rpc::CLAIM_VERDICT_LOST);
}

// Guards against a claim that is answered after its deadline because the log is unavailable.
TEST_F(ControlProcessTest, LogIsDown_ClaimIsUndecidedWithinItsTime)
{
    ASSERT_TRUE(waitForMembers());
    injectFault(R"({"fault":"outage","service":"log"})");
    const auto startTime = std::chrono::steady_clock::now();
    EXPECT_EQ(claim(*firstStub_, "a", 900).verdict(), rpc::CLAIM_VERDICT_UNDECIDED);
    EXPECT_LT(std::chrono::steady_clock::now() - startTime, 1500ms);
    injectFault(R"({"fault":"none"})");
}

// Guards against accepting keys that contain no timestamp, since the state machine could not tell when it is safe to remove them.
TEST_F(ControlProcessTest, KeyIsNoUuidOfVersion7_IsRefused)
{
    key_ = "6ba7b810-9dad-11d1-80b4-00c04fd430c8";
    EXPECT_EQ(claim(*firstStub_, "a").verdict(), rpc::CLAIM_VERDICT_REFUSED);
    EXPECT_FALSE(release(*firstStub_, "a"));
}

// Guards against missing heartbeats, which make entry processes regard a working control process as unavailable.
TEST_F(ControlProcessTest, NothingChanges_WatchView_SendsAHeartbeatEvery500Ms)
{
    grpc::ClientContext context;
    setDeadline(context);
    rpc::WatchViewRequest request;
    request.set_vm("vm1");
    request.set_entry_address("127.0.0.1:1");
    request.set_entry_incarnation(77);
    const auto reader = firstStub_->WatchView(&context, request);
    rpc::ViewUpdate update;
    const auto startTime = std::chrono::steady_clock::now();
    for (int i = 0; i < 4; ++i) {
        ASSERT_TRUE(reader->Read(&update));
    }
    EXPECT_LT(std::chrono::steady_clock::now() - startTime, 2500ms);
    EXPECT_GE(update.members_size(), 1);
    EXPECT_EQ(boost::json::parse(firstProcess_->state("self")).as_object()["entryIncarnation"].to_number<int>(), 77);
    context.TryCancel();
    reader->Finish();
}

// Guards against a planned shutdown that other VMs detect only as a failure.
TEST_F(ControlProcessTest, ProcessLeaves_OtherLearnsItAtOnce)
{
    ASSERT_TRUE(waitForMembers());
    firstProcess_->announceLeaving();
    for (int i = 0; i < 40 && secondProcess_->state("members").find("leaving") == std::string::npos; ++i) {
        std::this_thread::sleep_for(50ms);
    }
    EXPECT_NE(secondProcess_->state("members").find("leaving"), std::string::npos);
}

}
}
