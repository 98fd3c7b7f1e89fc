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
    std::size_t maxBacklogBytes = 1024UL * 1024; ///< Of one connection, before the next part of an answer is added.
    Duration stallTimeout = 30s; ///< A caller that has not read a byte for so long is disconnected.
    Duration lingerTimeout = 2s; ///< Between the last byte of an answer and the forced end of a connection that the entry closes.
};

/// Accepts callers' connections on Pistache's listener and drives a HttpSession for each.
class CallerServer
{
public:
    using Dispatch = std::function<void(DispatchInput)>;

    /// @p environment outlives the server. @p dispatch receives RequestArrived and CallerDisconnected from the server's threads.
    CallerServer(CallerServerSettings settings, const SessionEnvironment &environment, Dispatch dispatch);

    /// Ends all connections.
    ~CallerServer();

    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /// Starts to listen; returns the port. Throws std::exception when the address cannot be used.
    std::uint16_t start();

    /// Adds a part to the answer of a request. The bytes are sent by the next flush().
    void deliver(const SendToCaller &part);

    /// Ends the answer of a request.
    void deliver(const FinishRequest &end);

    /// Sends what deliver() has added. To be called from the thread that calls deliver().
    void flush();

    /// Whether all bytes of finished answers have been sent.
    [[nodiscard]] bool isIdle() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

}
