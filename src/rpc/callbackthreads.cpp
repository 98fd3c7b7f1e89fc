#include "rpc/callbackthreads.h"

#include "lentillock.grpc.pb.h"

#include <grpcpp/create_channel.h>

#include <chrono>
#include <future>

namespace Lentillock
{

namespace
{

namespace rpc = lentillock::rpc;

/// A channel takes its reference to the callback threads with its first asynchronous call, so one is made whose deadline has passed.
std::unique_ptr<rpc::Control::Stub> newStubWithCallbackThreads()
{
    auto stub = rpc::Control::NewStub(grpc::CreateChannel("ipv4:127.0.0.1:9", grpc::InsecureChannelCredentials()));
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now());
    const rpc::GetStateRequest request;
    rpc::GetStateReply reply;
    std::promise<void> ended;
    stub->async()->GetState(&context, &request, &reply, [&ended](const grpc::Status & /*status*/) { ended.set_value(); });
    ended.get_future().wait();
    return stub;
}

}

void keepCallbackThreads()
{
    // Never destroyed: callbacks may still run while static objects are being destroyed.
    static auto *stub = new std::unique_ptr<rpc::Control::Stub>(newStubWithCallbackThreads());
    static_cast<void>(stub);
}

}
