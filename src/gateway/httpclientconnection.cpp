#include "gateway/httpclientconnection.h"

#include <boost/asio/write.hpp>

#include <netinet/tcp.h>

#include <charconv>

namespace Lentillock
{

namespace
{

using boost::asio::ip::tcp;

constexpr HttpReadLimits AnswerLimits{.headBytes = 65536, .bodyBytes = 256ULL * 1024 * 1024};

/// Silence after which the kernel probes the peer, and the pause between probes, in seconds.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

/// Bound on the age of unacknowledged data, in milliseconds. Covers two retransmissions between zones.
constexpr int UnacknowledgedLimitMs = 1500;

/// Idle time after which a channel is not used again if the server does not state its own limit.
constexpr Duration DefaultIdleLimit = 2s;

/// A channel is not used during the last part of the idle time that the server states, because the close may be on its way.
constexpr Duration IdleLimitMargin = 500ms;

constexpr std::string_view Timeout = "timeout=";

Duration idleLimit(const HttpHead &head)
{
    const std::string_view value = fieldValue(head, "Keep-Alive");
    const std::size_t start = value.find(Timeout);
    if (start == std::string_view::npos) {
        return DefaultIdleLimit;
    }
    unsigned count = 0;
    const char *end = value.data() + value.size();
    if (std::from_chars(value.data() + start + Timeout.size(), end, count).ec != std::errc()) {
        return DefaultIdleLimit;
    }
    return std::chrono::seconds(count) - IdleLimitMargin;
}

}

void setKeepAliveOptions(tcp::socket &socket)
{
    boost::system::error_code ignored; // A socket that refuses an option still works; the time limit of the request bounds the damage.
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>(KeepAliveIdleSeconds), ignored);
    socket.set_option(boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>(KeepAliveIntervalSeconds), ignored);
    socket.set_option(boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>(KeepAliveProbes), ignored);
    socket.set_option(boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(UnacknowledgedLimitMs), ignored);
}

HttpClientConnection::HttpClientConnection(boost::asio::io_context &context, tcp::endpoint remote, Duration connectTimeout)
    : socket_(context)
    , connectTimer_(context)
    , remote_(std::move(remote))
    , connectTimeout_(connectTimeout)
    , reader_(AnswerLimits)
{
}

void HttpClientConnection::exchange(std::string request, Handlers handlers)
{
    request_ = std::move(request);
    handlers_ = std::move(handlers);
    active_ = true;
    headSeen_ = false;
    skipping_ = false;
    if (request_.starts_with("HEAD ")) {
        reader_.expectNoBody();
    }
    if (connected_) {
        write();
    } else {
        connect();
    }
}

void HttpClientConnection::close()
{
    if (closed_) {
        return;
    }
    closed_ = true;
    active_ = false;
    handlers_ = {};
    idleCloseHandler_ = {};
    connectTimer_.cancel();
    boost::system::error_code ignored; // The socket is unusable afterwards either way.
    socket_.close(ignored);
}

bool HttpClientConnection::isReusable(TimePoint now) const
{
    return !closed_ && !active_ && !writing_ && now < reusableUntil_;
}

bool HttpClientConnection::hasConnected() const
{
    return connected_;
}

void HttpClientConnection::setIdleCloseHandler(std::function<void()> handler)
{
    idleCloseHandler_ = std::move(handler);
}

void HttpClientConnection::connect()
{
    connectTimer_.expires_after(connectTimeout_);
    connectTimer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error && !self->connected_) {
            self->fail(ExchangeFailure::NotConnected);
        }
    });
    socket_.async_connect(remote_, [self = shared_from_this()](const boost::system::error_code &error) {
        if (self->closed_) {
            return;
        }
        self->connectTimer_.cancel();
        if (error) {
            self->fail(ExchangeFailure::NotConnected);
            return;
        }
        self->connected_ = true;
        setKeepAliveOptions(self->socket_);
        self->read();
        self->write();
    });
}

void HttpClientConnection::write()
{
    writing_ = true;
    boost::asio::async_write(socket_, boost::asio::buffer(request_), [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
        self->writing_ = false;
        self->request_.clear();
        // A failed write may leave an answer to read, for example a refusal before the body was sent; the read decides.
        if (error && !self->closed_ && !self->reading_) {
            self->fail(ExchangeFailure::Broken);
        }
    });
}

void HttpClientConnection::read()
{
    reading_ = true;
    socket_.async_read_some(boost::asio::buffer(buffer_), [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
        self->reading_ = false;
        if (self->closed_) {
            return;
        }
        if (!error) {
            self->consume({self->buffer_.data(), size});
            if (!self->closed_) {
                self->read();
            }
            return;
        }
        if (error == boost::asio::error::eof && self->active_ && self->headSeen_ && !self->skipping_ && self->reader_.feedEnd() == HttpReadState::Finished) {
            self->process();
            return;
        }
        self->fail(ExchangeFailure::Broken);
    });
}

void HttpClientConnection::consume(std::string_view bytes)
{
    if (!active_) {
        fail(ExchangeFailure::Malformed);
        return;
    }
    reader_.feed(bytes);
    process();
}

void HttpClientConnection::process()
{
    const auto self = shared_from_this();
    while (active_) {
        const HttpReadState state = reader_.state();
        if (state == HttpReadState::Malformed) {
            fail(ExchangeFailure::Malformed);
            return;
        }
        if (state == HttpReadState::Start || state == HttpReadState::Head) {
            return;
        }
        const bool isInterim = reader_.head().status < 200;
        if (!headSeen_ && !isInterim) {
            headSeen_ = true;
            skipping_ = handlers_.onHead(reader_.head()) == ResponseDisposition::Skip;
            if (!active_) {
                return;
            }
        }
        const std::string body = reader_.takeBody();
        if (!skipping_ && !isInterim && !body.empty()) {
            const auto onBody = handlers_.onBody;
            onBody(body);
            if (!active_) {
                return;
            }
        }
        if (state != HttpReadState::Finished) {
            return;
        }
        if (!skipping_ && !isInterim) {
            finish();
            return;
        }
        headSeen_ = false;
        skipping_ = false;
        reader_.next();
    }
}

void HttpClientConnection::finish()
{
    active_ = false;
    const HttpHead &head = reader_.head();
    // Bytes of the request that are still to be sent, and bytes after the answer, make the channel useless for another exchange.
    const bool reusable = head.keepAlive && !writing_ && !reader_.hasUnreadBytes() && socket_.is_open();
    if (reusable) {
        reusableUntil_ = monotonicNow() + idleLimit(head);
        reader_.next();
    }
    const Handlers handlers = std::exchange(handlers_, {});
    if (!reusable) {
        close();
    }
    handlers.onFinished();
}

void HttpClientConnection::fail(ExchangeFailure failure)
{
    const bool wasActive = active_;
    const Handlers handlers = std::exchange(handlers_, {});
    const auto idleCloseHandler = idleCloseHandler_;
    close();
    if (wasActive) {
        handlers.onFailed(failure);
    } else if (idleCloseHandler) {
        idleCloseHandler();
    }
}

}
