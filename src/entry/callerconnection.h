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
/// Pistache's Peer::send may be called from any thread, unlike ResponseStream::flush, and its promise resolves when the bytes have been written.
/// At most MaxOutstandingSends are under way, so that a slow reader's bytes wait here, where they are counted, and not in Pistache's queue.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    static constexpr unsigned MaxOutstandingSends = 8;

    /// Receives what the session admits and abandons.
    struct Events {
        std::function<void(RequestSpecPtr spec, std::shared_ptr<CallerConnection> connection)> admitted;
        std::function<void(const RequestId &request)> abandoned;
    };

    CallerConnection(const CallerServerSettings &settings,
                     const SessionEnvironment &environment,
                     const Events &events,
                     std::weak_ptr<Pistache::Tcp::Peer> peer);

    void receive(std::string_view bytes);
    void write(const SendToCaller &part);
    void finish(const FinishRequest &end);

    /// Sends bytes that wait, as far as the limit of outstanding sends allows.
    void flush();

    void advance(TimePoint now);

    /// The peer's descriptor is about to be closed. No byte is sent after this call.
    void onDisconnected();

    /// Ends the connection at once.
    void abort();

    [[nodiscard]] bool hasUnsentBytes() const;

private:
    using Guard = std::lock_guard<std::recursive_mutex>;

    void carryOut(SessionOutput output);
    void pump();
    void onSent(bool succeeded);
    void abortLocked(std::string_view reason);
    void shutDown(int how);

    const CallerServerSettings &settings_;
    const Events &events_;
    std::weak_ptr<Pistache::Tcp::Peer> peer_;
    // Recursive because a promise that has already been resolved calls onSent() from within pump().
    mutable std::recursive_mutex mutex_;
    HttpSession session_;
    BufferLease lease_;
    std::string backlog_;
    unsigned outstanding_ = 0;
    TimePoint lastProgress_;
    ConnectionFate fate_ = ConnectionFate::Keep;
    bool open_ = true;
    bool writeShut_ = false;
};

}
