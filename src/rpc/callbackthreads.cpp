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

/// Returns a stub whose channel holds a reference to the callback threads. gRPC takes that reference at the channel's first asynchronous call, so
/// this function makes one whose deadline has already passed.
std::unique_ptr<rpc::Control::Stub> newStubWithCallbackThreads()
{
    auto stub = rpc::Control::NewStub(grpc::CreateChannel("ipv4:127.0.0.1:9", grpc::InsecureChannelCredentials()));
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now());
    const rpc::GetStateRequest request;
    rpc::GetStateReply reply;
    std::promise<void> callFinished;
    stub->async()->GetState(&context, &request, &reply, [&callFinished](const grpc::Status & /*status*/) { callFinished.set_value(); });
    callFinished.get_future().wait();
    return stub;
}

}

void keepCallbackThreads()
{
    // Never deleted, since callbacks may still run while static objects are being destroyed.
    static auto *stub = new std::unique_ptr<rpc::Control::Stub>(newStubWithCallbackThreads());
    static_cast<void>(stub);
}

}
