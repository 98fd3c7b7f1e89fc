#include "cli/fakestateserver.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <grpcpp/grpcpp.h>

#include <lentillock.grpc.pb.h>

namespace Lentillock
{

namespace rpc = lentillock::rpc;

namespace
{

template<typename Service>
class StateService : public Service::Service
{
public:
    explicit StateService(std::string state)
        : state_(std::move(state))
    {
    }

    grpc::Status GetState(grpc::ServerContext * /*context*/, const rpc::GetStateRequest *request, rpc::GetStateReply *reply) override
    {
        const boost::json::value state = boost::json::parse(state_);
        if (request->part().empty()) {
            reply->set_json(boost::json::serialize(state));
        } else {
            const boost::json::value *part = state.as_object().if_contains(request->part());
            reply->set_json(part == nullptr ? "null" : boost::json::serialize(*part));
        }
        return grpc::Status::OK;
    }

private:
    std::string state_;
};

}

struct FakeStateServer::Implementation {
    std::unique_ptr<grpc::Service> service;
    std::unique_ptr<grpc::Server> server;
    int port = 0;
};

FakeStateServer::FakeStateServer(Kind kind, std::string state)
    : implementation_(std::make_unique<Implementation>())
{
    if (kind == Kind::Control) {
        implementation_->service = std::make_unique<StateService<rpc::Control>>(std::move(state));
    } else {
        implementation_->service = std::make_unique<StateService<rpc::Entry>>(std::move(state));
    }
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &implementation_->port);
    builder.RegisterService(implementation_->service.get());
    implementation_->server = builder.BuildAndStart();
}

FakeStateServer::~FakeStateServer()
{
    implementation_->server->Shutdown();
}

std::string FakeStateServer::address() const
{
    return "127.0.0.1:" + std::to_string(implementation_->port);
}

}
