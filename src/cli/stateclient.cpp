#include "cli/stateclient.h"

#include "base/findings.h"
#include "base/jsonreader.h"

#include <grpcpp/grpcpp.h>

#include <lentillock.grpc.pb.h>

namespace Lentillock
{

namespace rpc = lentillock::rpc;

namespace
{

constexpr std::uint64_t MaxTimeoutMs = 60'000;

template<typename Service>
grpc::Status requestState(const std::shared_ptr<grpc::Channel> &channel, const std::string &part, milliseconds timeout, rpc::GetStateReply &reply)
{
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + timeout);
    rpc::GetStateRequest request;
    request.set_part(part);
    return Service::NewStub(channel)->GetState(&context, request, &reply);
}

}

std::vector<OptionSpec> StateClient::options()
{
    return {{"timeout-ms", "N", "time to wait for each process, in milliseconds", "2000"}};
}

leaf::result<StateClient> StateClient::create(const Arguments &arguments)
{
    BOOST_LEAF_AUTO(timeout, arguments.number("timeout-ms", 1, MaxTimeoutMs));
    return StateClient(milliseconds(timeout));
}

StateClient::StateClient(milliseconds timeout)
    : timeout_(timeout)
{
}

leaf::result<boost::json::value> StateClient::fetchState(const std::string &address, const std::string &part) const
{
    const auto channel = grpc::CreateChannel(address, grpc::InsecureChannelCredentials());
    rpc::GetStateReply reply;
    grpc::Status status = requestState<rpc::Control>(channel, part, timeout_, reply);
    if (status.error_code() == grpc::StatusCode::UNIMPLEMENTED) {
        // Not a control process.
        status = requestState<rpc::Entry>(channel, part, timeout_, reply);
    }
    if (!status.ok()) {
        const bool isTimeout = status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
        return leaf::new_error(CommandFailure{address + (isTimeout ? " did not answer in time" : " cannot be reached")});
    }
    Findings findings;
    const auto value = parseJson(reply.json(), address, findings);
    if (!value) {
        return leaf::new_error(CommandFailure{address + " sent a state that is not valid JSON"});
    }
    return *value;
}

}
