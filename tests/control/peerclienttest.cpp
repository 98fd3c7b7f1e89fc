#include "control/peerclient.h"

#include "lentillock.grpc.pb.h"

#include <grpcpp/server_builder.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace Lentillock
{
namespace
{

class ConfigurationServer : public lentillock::rpc::Control::Service
{
public:
    explicit ConfigurationServer(std::size_t bytes)
        : snapshot_(bytes, 'x')
    {
    }

    grpc::Status
    FetchConfig(grpc::ServerContext * /*context*/, const lentillock::rpc::FetchConfigRequest * /*request*/, lentillock::rpc::ConfigState *reply) override
    {
        reply->set_version(1);
        reply->set_snapshot(snapshot_);
        return grpc::Status::OK;
    }

private:
    std::string snapshot_;
};

class PeerClientTest : public testing::Test
{
protected:
    /// A snapshot of 45,000 workspaces takes 13.8 MB, as measured with bench-capacity.
    static constexpr std::size_t SnapshotBytes = 14'000'000;

    PeerClientTest()
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port_);
        builder.RegisterService(&service_);
        server_ = builder.BuildAndStart();
    }

    ConfigurationServer service_{SnapshotBytes};
    int port_ = 0;
    std::unique_ptr<grpc::Server> server_;
    PeerClient client_;
};

// Guards against gRPC's default message size limit of 4 MB, with which a VM could not fetch a large configuration from a peer when it starts.
TEST_F(PeerClientTest, ConfigurationOfDesignSize_IsFetchedFromPeer_Arrives)
{
    const auto snapshot = client_.fetchConfig("127.0.0.1:" + std::to_string(port_), 0, milliseconds(10000));
    ASSERT_TRUE(snapshot.has_value());
    EXPECT_EQ(snapshot->size(), SnapshotBytes);
}

}
}
