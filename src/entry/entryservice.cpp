#include "entry/entryservice.h"

#include "lentillock.grpc.pb.h"

#include <boost/json/serialize.hpp>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

#include <chrono>
#include <stdexcept>
#include <utility>

namespace Lentillock
{

namespace
{

namespace rpc = lentillock::rpc;

constexpr auto ShutdownTimeout = std::chrono::milliseconds(500);

// Clients send a keepalive ping every second, for which the server would close their connections by default.
constexpr int MinPingIntervalMs = 500;

}

class EntryService::Implementation : public rpc::Entry::Service
{
public:
    Implementation(const std::string &address, Source source)
        : source_(std::move(source))
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port_);
        builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, MinPingIntervalMs);
        builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.RegisterService(this);
        server_ = builder.BuildAndStart();
        if (server_ == nullptr || port_ == 0) {
            throw std::runtime_error("cannot listen on " + address);
        }
    }

    ~Implementation() override
    {
        server_->Shutdown(std::chrono::system_clock::now() + ShutdownTimeout);
    }

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    [[nodiscard]] int port() const
    {
        return port_;
    }

    grpc::Status IsActive(grpc::ServerContext * /*context*/, const rpc::IsActiveRequest *request, rpc::IsActiveReply *reply) override
    {
        std::vector<RequestId> requests;
        requests.reserve(static_cast<std::size_t>(request->requests_size()));
        for (const std::string &id : request->requests()) {
            requests.emplace_back(id);
        }
        reply->set_vm(source_.vm.value());
        reply->set_incarnation(source_.incarnation);
        for (const bool active : source_.areActive(requests)) {
            reply->add_active(active);
        }
        return grpc::Status::OK;
    }

    grpc::Status GetState(grpc::ServerContext * /*context*/, const rpc::GetStateRequest *request, rpc::GetStateReply *reply) override
    {
        reply->set_json(boost::json::serialize(source_.state(request->part())));
        return grpc::Status::OK;
    }

private:
    Source source_;
    int port_ = 0;
    std::unique_ptr<grpc::Server> server_;
};

EntryService::EntryService(const std::string &address, Source source)
    : implementation_(std::make_unique<Implementation>(address, std::move(source)))
{
}

EntryService::~EntryService() = default;

int EntryService::port() const
{
    return implementation_->port();
}

}
