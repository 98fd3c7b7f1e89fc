#pragma once

#include "base/time.h"
#include "dispatch/messages.h"
#include "entry/httpsession.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Lentillock
{

struct CallerServerSettings {
    std::string address; ///< IP:PORT; port 0 lets the kernel choose.
    std::size_t threads = 1;
    std::size_t maxConnections = 4096;
    std::size_t maxBacklogBytes = 1024UL * 1024; ///< Unsent bytes of one connection; checked before the next part of a response is added.
    Duration stallTimeout = 30s; ///< A caller that has not read any byte for this long is disconnected.
    Duration lingerTimeout = 2s; ///< From the last byte of a response to the reset of a connection that the entry closes.
};

/// Accepts callers' connections with Pistache's listener and runs an HttpSession for each.
class CallerServer
{
public:
    using Dispatch = std::function<void(DispatchInput)>;

    /// @p environment must outlive the server. @p dispatch is called with RequestArrived and CallerDisconnected from the server's threads.
    CallerServer(CallerServerSettings settings, const SessionEnvironment &environment, Dispatch dispatch);

    /// Closes all connections.
    ~CallerServer();

    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /// Starts listening and returns the port. Throws std::exception if the address cannot be used.
    std::uint16_t start();

    /// Queues a part of the response to a request. The next flush() sends it.
    void deliver(const SendToCaller &part);

    /// Completes the response to a request.
    void deliver(const FinishRequest &end);

    /// Sends the queued parts. Must be called from the thread that calls deliver().
    void flush();

    /// Whether no connection has unsent bytes.
    [[nodiscard]] bool isIdle() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

}
