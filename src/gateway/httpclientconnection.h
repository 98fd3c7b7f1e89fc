#pragma once

#include "base/time.h"
#include "gateway/httpreader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace Lentillock
{

/// Why an exchange failed to produce a complete response.
enum class ExchangeFailure {
    NotConnected, ///< The connection could not be established; no byte of the request was sent.
    Refused, ///< As NotConnected, because nothing listens at the address.
    Broken, ///< The connection was closed or reset, or the peer stopped acknowledging data.
    BrokenInHead, ///< As Broken, when a part of the head of the response had arrived.
    Malformed, ///< The received bytes are not a valid HTTP response, or exceed a limit.
};

/// What to do with a response whose head has arrived.
enum class ResponseDisposition {
    Accept,
    Skip, ///< It belongs to another request; discard it and wait for the next response on the connection.
};

/// Limits on the size of one response. VMs have as little as 160 MB of memory, and some responses are collected whole.
inline constexpr HttpReadLimits DefaultResponseLimits{.headBytes = 64 * 1024, .bodyBytes = 8ULL * 1024 * 1024};

/// Sets the socket options that detect a dead peer (keep-alive probes, a timeout for unacknowledged data) and disables Nagle's algorithm.
void setKeepAliveOptions(boost::asio::ip::tcp::socket &socket);

/// One HTTP/1.1 connection from this VM to a server. Carries one exchange at a time and never retries a request.
class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection>
{
public:
    struct Handlers {
        std::function<ResponseDisposition(const HttpHead &)> onHead;
        std::function<void(const std::string &)> onBody;
        std::function<void()> onFinished; ///< The response is complete.
        std::function<void(ExchangeFailure)> onFailed;
    };

    HttpClientConnection(boost::asio::io_context &context,
                         boost::asio::ip::tcp::endpoint remote,
                         Duration connectTimeout,
                         HttpReadLimits limits = DefaultResponseLimits);

    /// Sends @p request, and @p body after it if there is one, after connecting if necessary. Exactly one of onFinished and onFailed is called, unless close()
    /// is called first.
    void exchange(std::string request, Handlers handlers, std::shared_ptr<const std::string> body = nullptr);

    /// Closes the connection. No handler is called afterwards.
    void close();

    /// Whether another exchange may start on this connection.
    [[nodiscard]] bool isReusable(TimePoint now) const;
    [[nodiscard]] bool hasConnected() const;
    /// Whether the connection was established before @p time and neither side has closed it.
    [[nodiscard]] bool isOpenSince(TimePoint time) const;

    /// Whether the server has stated that it keeps the connection open until after @p now.
    [[nodiscard]] bool wasExpectedOpen(TimePoint now) const;

    /// Sets the handler that is called when the peer closes the connection, or sends bytes on it, between two exchanges.
    void setIdleCloseHandler(std::function<void()> handler);

private:
    void connect();
    void write();
    void read();
    void consume(std::string_view bytes);
    void processInput();
    void finish();
    void fail(ExchangeFailure failure);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer connectTimer_;
    boost::asio::ip::tcp::endpoint remote_;
    Duration connectTimeout_;
    HttpResponseReader reader_;
    std::array<char, 16384> buffer_{};
    std::string request_;
    std::shared_ptr<const std::string> body_; ///< Shared with the owner of the request, who may send it again.
    Handlers handlers_;
    std::function<void()> idleCloseHandler_;
    bool connected_ = false;
    bool closed_ = false;
    bool exchangeActive_ = false;
    bool writing_ = false;
    bool wroteRequest_ = false; ///< The request of this exchange has been written whole.
    bool reading_ = false;
    bool headHandled_ = false;
    bool skippingResponse_ = false;
    int ignoredResponses_ = 0; ///< Interim and skipped responses of this exchange.
    TimePoint connectedAt_{};
    TimePoint reusableUntil_{};
};

using HttpClientConnectionPointer = std::shared_ptr<HttpClientConnection>;

}
