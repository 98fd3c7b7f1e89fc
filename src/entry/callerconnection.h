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

/// A caller's connection: its session and its unsent bytes. Thread-safe.
///
/// Bytes are sent directly on the peer's descriptor. Pistache's ResponseStream::flush terminates the process if it is called outside the handler's thread,
/// and its Peer::send queues by descriptor: bytes that are still queued when the descriptor is closed could reach the next caller that gets the same one.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    /// Receivers of the events of a connection.
    struct Events {
        std::function<void(RequestSpecPtr spec, std::shared_ptr<CallerConnection> connection)> admitted;
        std::function<void(const RequestId &request)> abandoned;
        int writableEpoll = -1; ///< epoll descriptor that reports the identifiers of connections with unsent bytes that have become writable.
    };

    CallerConnection(std::uint64_t id,
                     const CallerServerSettings &settings,
                     const SessionEnvironment &environment,
                     const Events &events,
                     std::weak_ptr<Pistache::Tcp::Peer> peer);

    void receive(std::string_view bytes);
    void write(const SendToCaller &part);
    void finish(const FinishRequest &end);

    /// Sends as many unsent bytes as the socket accepts.
    void flush();

    void advance(TimePoint now);

    /// Called before the peer's descriptor is closed. Nothing is sent after this call.
    void onDisconnected();

    /// Resets the connection.
    void abort();

    [[nodiscard]] bool hasUnsentBytes() const;
    [[nodiscard]] std::uint64_t id() const;

private:
    using Guard = std::lock_guard<std::mutex>;

    void apply(SessionOutput output);
    void sendBacklog();
    void registerForWritable(int descriptor);
    void abortLocked(std::string_view reason);
    void shutDown(int how);

    std::uint64_t id_;
    const CallerServerSettings &settings_;
    const Events &events_;
    std::weak_ptr<Pistache::Tcp::Peer> peer_;
    mutable std::mutex mutex_;
    HttpSession session_;
    BufferReservation reservation_;
    std::string backlog_;
    std::size_t sent_ = 0; ///< Number of leading bytes of the backlog that have been sent.
    TimePoint lastProgress_;
    ConnectionAction connectionAction_ = ConnectionAction::Keep;
    bool open_ = true;
    bool writeShutDown_ = false;
    bool registered_ = false; ///< Whether the descriptor is registered with the epoll descriptor.
};

}
