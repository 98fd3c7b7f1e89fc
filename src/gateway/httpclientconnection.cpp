#include "gateway/httpclientconnection.h"

#include <boost/asio/write.hpp>

#include <netinet/tcp.h>

#include <charconv>

namespace Lentillock
{

namespace
{

using boost::asio::ip::tcp;

/// Idle time after which the kernel sends keep-alive probes, the interval between them, and the number of lost probes that closes the connection.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

/// Longest time for which sent data may stay unacknowledged. Allows for two retransmissions between availability zones.
constexpr int UnacknowledgedTimeoutMs = 1500;

/// Idle time after which a connection is not reused, unless the server states its own limit.
constexpr Duration DefaultIdleTimeout = 2s;

/// Subtracted from the idle timeout that the server states, because the server may already be closing the connection.
constexpr Duration IdleTimeoutMargin = 500ms;

/// Interim responses, and responses to other requests, that may precede the response of one exchange. A server that fails may send them without end.
constexpr int MaxIgnoredResponses = 16;

/// Status codes of HTTP. Those below FirstFinalStatus belong to interim responses.
constexpr unsigned MinStatus = 100;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned MaxStatus = 599;

constexpr std::string_view TimeoutParameter = "timeout=";

Duration idleTimeout(const HttpHead &head)
{
    const std::string_view value = fieldValue(head, "Keep-Alive");
    const std::size_t start = value.find(TimeoutParameter);
    if (start == std::string_view::npos) {
        return DefaultIdleTimeout;
    }
    unsigned seconds = 0;
    const char *end = value.data() + value.size();
    if (std::from_chars(value.data() + start + TimeoutParameter.size(), end, seconds).ec != std::errc()) {
        return DefaultIdleTimeout;
    }
    return std::chrono::seconds(seconds) - IdleTimeoutMargin;
}

}

void setKeepAliveOptions(tcp::socket &socket)
{
    boost::system::error_code ignored; // The socket works without the options; the deadline of the request still applies.
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>(KeepAliveIdleSeconds), ignored);
    socket.set_option(boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>(KeepAliveIntervalSeconds), ignored);
    socket.set_option(boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>(KeepAliveProbes), ignored);
    socket.set_option(boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(UnacknowledgedTimeoutMs), ignored);
}

HttpClientConnection::HttpClientConnection(boost::asio::io_context &context, tcp::endpoint remote, Duration connectTimeout, HttpReadLimits limits)
    : socket_(context)
    , connectTimer_(context)
    , remote_(std::move(remote))
    , connectTimeout_(connectTimeout)
    , reader_(limits)
{
}

void HttpClientConnection::exchange(std::string request, Handlers handlers, std::shared_ptr<const std::string> body)
{
    request_ = std::move(request);
    body_ = std::move(body);
    handlers_ = std::move(handlers);
    exchangeActive_ = true;
    wroteRequest_ = false;
    headHandled_ = false;
    skippingResponse_ = false;
    ignoredResponses_ = 0;
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
    exchangeActive_ = false;
    handlers_ = {};
    idleCloseHandler_ = {};
    connectTimer_.cancel();
    boost::system::error_code ignored; // The socket is unusable afterwards either way.
    socket_.close(ignored);
}

bool HttpClientConnection::isReusable(TimePoint now) const
{
    return !closed_ && !exchangeActive_ && !writing_ && now < reusableUntil_;
}

bool HttpClientConnection::hasConnected() const
{
    return connected_;
}

bool HttpClientConnection::isOpenSince(TimePoint time) const
{
    return connected_ && !closed_ && connectedAt_ < time;
}

bool HttpClientConnection::wasExpectedOpen(TimePoint now) const
{
    return now < reusableUntil_;
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
            self->fail(error == boost::asio::error::connection_refused ? ExchangeFailure::Refused : ExchangeFailure::NotConnected);
            return;
        }
        self->connected_ = true;
        self->connectedAt_ = monotonicNow();
        setKeepAliveOptions(self->socket_);
        self->read();
        self->write();
    });
}

void HttpClientConnection::write()
{
    writing_ = true;
    const std::array<boost::asio::const_buffer, 2> parts{boost::asio::buffer(request_), body_ ? boost::asio::buffer(*body_) : boost::asio::const_buffer()};
    boost::asio::async_write(socket_, parts, [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
        self->writing_ = false;
        self->wroteRequest_ = !error;
        self->request_.clear();
        self->body_.reset();
        // After a failed write there may still be a response to read, for example if the server rejected the request before reading its body.
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
        // The end of the connection completes a body without a length only if the request was written whole. A failed write takes the error of a reset, and
        // the read sees an ordinary end.
        if (error == boost::asio::error::eof && self->wroteRequest_ && self->exchangeActive_ && self->headHandled_ && !self->skippingResponse_
            && self->reader_.feedEnd() == HttpReadState::Finished) {
            self->processInput();
            return;
        }
        self->fail(self->reader_.state() == HttpReadState::Head ? ExchangeFailure::BrokenInHead : ExchangeFailure::Broken);
    });
}

void HttpClientConnection::consume(std::string_view bytes)
{
    if (!exchangeActive_) {
        fail(ExchangeFailure::Malformed);
        return;
    }
    reader_.feed(bytes);
    processInput();
}

void HttpClientConnection::processInput()
{
    const auto self = shared_from_this();
    while (exchangeActive_) {
        const HttpReadState state = reader_.state();
        if (state == HttpReadState::Malformed) {
            fail(ExchangeFailure::Malformed);
            return;
        }
        if (state == HttpReadState::Start || state == HttpReadState::Head) {
            return;
        }
        if (reader_.head().status < MinStatus || reader_.head().status > MaxStatus) {
            fail(ExchangeFailure::Malformed);
            return;
        }
        const bool isInterim = reader_.head().status < FirstFinalStatus;
        if (!headHandled_ && !isInterim) {
            headHandled_ = true;
            skippingResponse_ = handlers_.onHead(reader_.head()) == ResponseDisposition::Skip;
            if (!exchangeActive_) {
                return;
            }
        }
        const std::string body = reader_.takeBody();
        if (!skippingResponse_ && !isInterim && !body.empty()) {
            const auto onBody = handlers_.onBody;
            onBody(body);
            if (!exchangeActive_) {
                return;
            }
        }
        if (state != HttpReadState::Finished) {
            return;
        }
        if (!skippingResponse_ && !isInterim) {
            finish();
            return;
        }
        if (++ignoredResponses_ > MaxIgnoredResponses) {
            fail(ExchangeFailure::Malformed);
            return;
        }
        headHandled_ = false;
        skippingResponse_ = false;
        reader_.next();
    }
}

void HttpClientConnection::finish()
{
    exchangeActive_ = false;
    const HttpHead &head = reader_.head();
    // The connection cannot be reused if part of the request is unsent or if bytes follow the response.
    const bool reusable = head.keepAlive && !writing_ && !reader_.hasUnreadBytes() && socket_.is_open();
    if (reusable) {
        reusableUntil_ = monotonicNow() + idleTimeout(head);
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
    const bool wasActive = exchangeActive_;
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
