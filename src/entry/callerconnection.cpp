#include "entry/callerconnection.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace Lentillock
{

namespace
{

// A larger buffer is freed after a long response has been sent.
constexpr std::size_t MaxKeptCapacity = 16UL * 1024;

TimePoint clockNow()
{
    return std::chrono::steady_clock::now();
}

}

CallerConnection::CallerConnection(std::uint64_t id,
                                   const CallerServerSettings &settings,
                                   const SessionEnvironment &environment,
                                   const Events &events,
                                   std::weak_ptr<Pistache::Tcp::Peer> peer)
    : id_(id)
    , settings_(settings)
    , events_(events)
    , peer_(std::move(peer))
    , session_(environment, clockNow())
    , reservation_(environment.budget)
    , lastProgress_(clockNow())
{
}

void CallerConnection::receive(std::string_view bytes)
{
    const Guard guard(mutex_);
    apply(session_.receive(clockNow(), bytes));
    sendBacklog();
}

void CallerConnection::write(const SendToCaller &part)
{
    const Guard guard(mutex_);
    if (backlog_.size() - sent_ > settings_.maxBacklogBytes) {
        abortLocked("slow_reader");
        return;
    }
    apply(session_.write(clockNow(), part));
}

void CallerConnection::finish(const FinishRequest &end)
{
    const Guard guard(mutex_);
    apply(session_.finish(clockNow(), end));
}

void CallerConnection::flush()
{
    const Guard guard(mutex_);
    sendBacklog();
}

void CallerConnection::advance(TimePoint now)
{
    const Guard guard(mutex_);
    if (!open_) {
        return;
    }
    if (!backlog_.empty() && now - lastProgress_ >= settings_.stallTimeout) {
        abortLocked("slow_reader");
        return;
    }
    if (writeShutDown_ && now - lastProgress_ >= settings_.lingerTimeout) {
        abortLocked("closed");
        return;
    }
    apply(session_.advance(now));
    sendBacklog();
}

void CallerConnection::onDisconnected()
{
    const Guard guard(mutex_);
    if (const auto peer = peer_.lock(); peer != nullptr && registered_) {
        ::epoll_ctl(events_.writableEpoll, EPOLL_CTL_DEL, peer->fd(), nullptr);
    }
    open_ = false;
    std::string().swap(backlog_);
    sent_ = 0;
    (void)reservation_.resize(0);
    apply(session_.disconnect("disconnected"));
}

void CallerConnection::abort()
{
    const Guard guard(mutex_);
    abortLocked("shutdown");
}

bool CallerConnection::hasUnsentBytes() const
{
    const Guard guard(mutex_);
    return open_ && !backlog_.empty();
}

std::uint64_t CallerConnection::id() const
{
    return id_;
}

void CallerConnection::apply(SessionOutput output)
{
    if (output.admitted) {
        events_.admitted(std::move(*output.admitted), shared_from_this());
    }
    if (output.abandoned) {
        events_.abandoned(*output.abandoned);
    }
    if (!open_) {
        return;
    }
    if (connectionAction_ == ConnectionAction::Keep) {
        connectionAction_ = output.connectionAction;
    }
    if (!output.bytes.empty()) {
        if (backlog_.empty()) {
            lastProgress_ = clockNow();
        }
        backlog_ += output.bytes;
        if (!reservation_.resize(backlog_.size())) {
            abortLocked("buffers_full");
            return;
        }
    }
    if (connectionAction_ == ConnectionAction::Abort) {
        shutDown(SHUT_RDWR);
    }
}

void CallerConnection::sendBacklog()
{
    const std::shared_ptr<Pistache::Tcp::Peer> peer = peer_.lock();
    while (open_ && connectionAction_ != ConnectionAction::Abort && peer != nullptr && sent_ < backlog_.size()) {
        const ssize_t count = ::send(peer->fd(), backlog_.data() + sent_, backlog_.size() - sent_, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            registerForWritable(peer->fd());
            break;
        }
        if (count < 0 && errno != EINTR) {
            abortLocked("disconnected");
            return;
        }
        sent_ += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
        lastProgress_ = clockNow();
    }
    if (sent_ == backlog_.size()) {
        backlog_.clear();
        if (backlog_.capacity() > MaxKeptCapacity) {
            std::string().swap(backlog_);
        }
        sent_ = 0;
    } else if (sent_ > backlog_.size() / 2) {
        backlog_.erase(0, std::exchange(sent_, 0));
    }
    (void)reservation_.resize(backlog_.size());
    if (open_ && backlog_.empty() && connectionAction_ == ConnectionAction::Close && !writeShutDown_) {
        // Input is still read until the linger timeout: closing a socket with unread input resets the connection, and the caller could lose the response.
        writeShutDown_ = true;
        lastProgress_ = clockNow();
        shutDown(SHUT_WR);
    }
}

void CallerConnection::registerForWritable(int descriptor)
{
    epoll_event event{};
    event.events = EPOLLOUT | EPOLLONESHOT;
    event.data.u64 = id_;
    ::epoll_ctl(events_.writableEpoll, registered_ ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, descriptor, &event);
    registered_ = true;
}

void CallerConnection::abortLocked(std::string_view reason)
{
    std::string().swap(backlog_);
    sent_ = 0;
    (void)reservation_.resize(0);
    connectionAction_ = ConnectionAction::Abort;
    const SessionOutput output = session_.disconnect(reason);
    if (output.abandoned) {
        events_.abandoned(*output.abandoned);
    }
    shutDown(SHUT_RDWR);
}

void CallerConnection::shutDown(int how)
{
    const std::shared_ptr<Pistache::Tcp::Peer> peer = peer_.lock();
    // The descriptor is valid until onDisconnected() is called. Pistache detects the end of input and closes it.
    if (open_ && peer != nullptr) {
        if (how == SHUT_RDWR) {
            // Discards unsent data and resets the connection, so that the caller can tell that the response is incomplete.
            const linger discard{.l_onoff = 1, .l_linger = 0};
            ::setsockopt(peer->fd(), SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
        }
        ::shutdown(peer->fd(), how);
    }
}

}
