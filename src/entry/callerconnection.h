#pragma once

#include "entry/callerserver.h"
#include "entry/httpsession.h"

#include <pistache/peer.h>

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace Lentillock
{

/// A caller's connection: its session and the bytes that wait to be sent. Safe to use from several threads.
///
/// Bytes are sent directly on the peer's descriptor. Pistache's ResponseStream::flush ends the process outside of the handler's thread, and its Peer::send
/// queues by descriptor: bytes that are still queued when the descriptor is closed could reach the next caller that gets the same one.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    /// Receives what the session admits and abandons.
    struct Events {
        std::function<void(RequestSpecPtr spec, std::shared_ptr<CallerConnection> connection)> admitted;
        std::function<void(const RequestId &request)> abandoned;
        int writable = -1; ///< epoll descriptor that reports when a connection with unsent bytes can take more, by identifier.
    };

    CallerConnection(std::uint64_t id,
                     const CallerServerSettings &settings,
                     const SessionEnvironment &environment,
                     const Events &events,
                     std::weak_ptr<Pistache::Tcp::Peer> peer);

    void receive(std::string_view bytes);
    void write(const SendToCaller &part);
    void finish(const FinishRequest &end);

    /// Sends bytes that wait, as far as the caller takes them.
    void flush();

    void advance(TimePoint now);

    /// The peer's descriptor is about to be closed. No byte is sent after this call.
    void onDisconnected();

    /// Ends the connection at once.
    void abort();

    [[nodiscard]] bool hasUnsentBytes() const;
    [[nodiscard]] std::uint64_t id() const;

private:
    using Guard = std::lock_guard<std::mutex>;

    void carryOut(SessionOutput output);
    void pump();
    void awaitWritable(int descriptor);
    void abortLocked(std::string_view reason);
    void shutDown(int how);

    std::uint64_t id_;
    const CallerServerSettings &settings_;
    const Events &events_;
    std::weak_ptr<Pistache::Tcp::Peer> peer_;
    mutable std::mutex mutex_;
    HttpSession session_;
    BufferLease lease_;
    std::string backlog_;
    std::size_t sent_ = 0; ///< Leading bytes of the backlog that have been sent.
    TimePoint lastProgress_;
    ConnectionFate fate_ = ConnectionFate::Keep;
    bool open_ = true;
    bool writeShut_ = false;
    bool registered_ = false; ///< With the epoll descriptor.
};

}
