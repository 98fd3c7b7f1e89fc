#include "rpc/callbackqueueholder.h"

#include "lentillock.grpc.pb.h"

#include <grpcpp/create_channel.h>

#include <chrono>
#include <future>

namespace Lentillock
{

class CallbackQueueHolder::Channel
{
public:
    /// A channel takes its reference to the queue with its first asynchronous call, so one is made whose deadline has passed.
    Channel()
        : stub_(lentillock::rpc::Control::NewStub(grpc::CreateChannel("ipv4:127.0.0.1:9", grpc::InsecureChannelCredentials())))
    {
        grpc::ClientContext context;
        context.set_deadline(std::chrono::system_clock::now());
        const lentillock::rpc::GetStateRequest request;
        lentillock::rpc::GetStateReply reply;
        std::promise<void> ended;
        stub_->async()->GetState(&context, &request, &reply, [&ended](const grpc::Status & /*status*/) { ended.set_value(); });
        ended.get_future().wait();
    }

private:
    std::unique_ptr<lentillock::rpc::Control::Stub> stub_;
};

CallbackQueueHolder::CallbackQueueHolder()
    : channel_(std::make_unique<Channel>())
{
}

CallbackQueueHolder::~CallbackQueueHolder() = default;

}
