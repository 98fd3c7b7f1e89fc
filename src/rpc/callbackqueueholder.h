#pragma once

#include <memory>

namespace Lentillock
{

/// Keeps the threads that run gRPC's client callbacks alive; each process that makes asynchronous calls holds one from start to end.
///
/// gRPC 1.51 stops and joins these threads when the last channel of the process is destroyed. If that happens inside a callback, a thread
/// joins itself and the process aborts with "assertion failed: prior > 0" in grpc_cq_internal_unref.
class CallbackQueueHolder
{
public:
    CallbackQueueHolder();
    ~CallbackQueueHolder();
    CallbackQueueHolder(const CallbackQueueHolder &) = delete;
    CallbackQueueHolder &operator=(const CallbackQueueHolder &) = delete;

private:
    class Channel;
    std::unique_ptr<Channel> channel_;
};

}
