#include "entry/callerconnection.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace Lentillock
{

namespace
{

// Pistache copies the rest of a buffer after each partial write, so buffers are kept short.
constexpr std::size_t MaxSendBytes = 64UL * 1024;

TimePoint clockNow()
{
    return std::chrono::steady_clock::now();
}

}

CallerConnection::CallerConnection(const CallerServerSettings &settings,
                                   const SessionEnvironment &environment,
                                   const Events &events,
                                   std::weak_ptr<Pistache::Tcp::Peer> peer)
    : settings_(settings)
    , events_(events)
    , peer_(std::move(peer))
    , session_(environment, clockNow())
    , lease_(environment.budget)
    , lastProgress_(clockNow())
{
}

void CallerConnection::receive(std::string_view bytes)
{
    const Guard guard(mutex_);
    carryOut(session_.receive(clockNow(), bytes));
    pump();
}

void CallerConnection::write(const SendToCaller &part)
{
    const Guard guard(mutex_);
    if (backlog_.size() > settings_.maxBacklogBytes) {
        abortLocked("slow_reader");
        return;
    }
    carryOut(session_.write(part));
}

void CallerConnection::finish(const FinishRequest &end)
{
    const Guard guard(mutex_);
    carryOut(session_.finish(clockNow(), end));
}

void CallerConnection::flush()
{
    const Guard guard(mutex_);
    pump();
}

void CallerConnection::advance(TimePoint now)
{
    const Guard guard(mutex_);
    if (!open_) {
        return;
    }
    const bool waits = outstanding_ > 0 || !backlog_.empty();
    if (waits && now - lastProgress_ >= settings_.stallTimeout) {
        abortLocked("slow_reader");
        return;
    }
    if (writeShut_ && now - lastProgress_ >= settings_.lingerTimeout) {
        abortLocked("closed");
        return;
    }
    carryOut(session_.advance(now));
    pump();
}

void CallerConnection::onDisconnected()
{
    const Guard guard(mutex_);
    open_ = false;
    backlog_ = {};
    (void)lease_.resize(0);
    carryOut(session_.disconnect("disconnected"));
}

void CallerConnection::abort()
{
    const Guard guard(mutex_);
    abortLocked("shutdown");
}

bool CallerConnection::hasUnsentBytes() const
{
    const Guard guard(mutex_);
    return open_ && (outstanding_ > 0 || !backlog_.empty());
}

void CallerConnection::carryOut(SessionOutput output)
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
    if (fate_ == ConnectionFate::Keep) {
        fate_ = output.fate;
    }
    if (!output.bytes.empty()) {
        if (backlog_.empty() && outstanding_ == 0) {
            lastProgress_ = clockNow();
        }
        backlog_ += output.bytes;
        if (!lease_.resize(backlog_.size())) {
            abortLocked("buffers_full");
            return;
        }
    }
    if (fate_ == ConnectionFate::Abort) {
        shutDown(SHUT_RDWR);
    }
}

void CallerConnection::pump()
{
    const std::shared_ptr<Pistache::Tcp::Peer> peer = peer_.lock();
    while (open_ && peer != nullptr && outstanding_ < MaxOutstandingSends && !backlog_.empty()) {
        std::string bytes;
        if (backlog_.size() <= MaxSendBytes) {
            bytes = std::exchange(backlog_, {});
        } else {
            bytes = backlog_.substr(0, MaxSendBytes);
            backlog_.erase(0, MaxSendBytes);
        }
        (void)lease_.resize(backlog_.size());
        ++outstanding_;
        const std::size_t length = bytes.size();
        const std::weak_ptr<CallerConnection> self = weak_from_this();
        peer->send(Pistache::RawBuffer(std::move(bytes), length))
            .then(
                [self](ssize_t /*sent*/) {
                    if (const auto connection = self.lock()) {
                        connection->onSent(true);
                    }
                },
                [self](const std::exception_ptr & /*error*/) {
                    if (const auto connection = self.lock()) {
                        connection->onSent(false);
                    }
                });
    }
    if (open_ && outstanding_ == 0 && backlog_.empty() && fate_ == ConnectionFate::Close && !writeShut_) {
        // The input is still read for a while: closing at once with unread input would reset the connection and could destroy the answer.
        writeShut_ = true;
        lastProgress_ = clockNow();
        shutDown(SHUT_WR);
    }
}

void CallerConnection::onSent(bool succeeded)
{
    const Guard guard(mutex_);
    --outstanding_;
    lastProgress_ = clockNow();
    if (succeeded) {
        pump();
    } else {
        abortLocked("disconnected");
    }
}

void CallerConnection::abortLocked(std::string_view reason)
{
    backlog_ = {};
    (void)lease_.resize(0);
    fate_ = ConnectionFate::Abort;
    const SessionOutput output = session_.disconnect(reason);
    if (output.abandoned) {
        events_.abandoned(*output.abandoned);
    }
    shutDown(SHUT_RDWR);
}

void CallerConnection::shutDown(int how)
{
    const std::shared_ptr<Pistache::Tcp::Peer> peer = peer_.lock();
    // The descriptor is valid as long as onDisconnected() has not been called. Pistache notices the end of input and closes it.
    if (open_ && peer != nullptr) {
        ::shutdown(peer->fd(), how);
    }
}

}
