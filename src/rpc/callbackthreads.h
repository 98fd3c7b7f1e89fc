#pragma once

namespace Lentillock
{

/// Keeps the threads that run gRPC's client callbacks alive until the process ends. Must be called before the first asynchronous call; further
/// calls have no effect.
///
/// gRPC 1.51 stops and joins these threads when the last channel of the process is destroyed. If that happens inside a callback, a thread
/// joins itself and the process aborts with "assertion failed: prior > 0" in grpc_cq_internal_unref.
void keepCallbackThreads();

}
