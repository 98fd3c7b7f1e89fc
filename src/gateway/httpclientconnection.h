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

/// Why an exchange on a channel ended without a whole answer.
enum class ExchangeFailure {
    NotConnected, ///< No byte of the request has left this VM.
    Broken, ///< The channel was closed or reset, or the peer stopped acknowledging.
    Malformed, ///< The bytes are not an answer.
};

/// What to do with an answer whose head has arrived.
enum class ResponseDisposition {
    Accept,
    Skip, ///< It belongs to another request; the next answer on the channel is looked at.
};

/// Sets the options that find a peer that has gone without a word: no delay, keep-alive probes, a bound on unacknowledged data.
void setKeepAliveOptions(boost::asio::ip::tcp::socket &socket);

/// One HTTP/1.1 channel from this VM to a server. Carries one exchange at a time and never repeats a request.
class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection>
{
public:
    struct Handlers {
        std::function<ResponseDisposition(const HttpHead &)> onHead;
        std::function<void(const std::string &)> onBody;
        std::function<void()> onFinished; ///< The answer is whole.
        std::function<void(ExchangeFailure)> onFailed;
    };

    HttpClientConnection(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint remote, Duration connectTimeout);

    /// Sends @p request, after connecting if necessary. Exactly one of onFinished and onFailed follows, unless close() comes first.
    void exchange(std::string request, Handlers handlers);

    /// Resets or closes the channel. No handler is called afterwards.
    void close();

    /// Whether another exchange may start on this channel.
    [[nodiscard]] bool isReusable(TimePoint now) const;
    [[nodiscard]] bool hasConnected() const;

    /// Called when the peer closes the channel, or sends bytes on it, between two exchanges.
    void setIdleCloseHandler(std::function<void()> handler);

private:
    void connect();
    void write();
    void read();
    void consume(std::string_view bytes);
    void process();
    void finish();
    void fail(ExchangeFailure failure);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer connectTimer_;
    boost::asio::ip::tcp::endpoint remote_;
    Duration connectTimeout_;
    HttpResponseReader reader_;
    std::array<char, 16384> buffer_{};
    std::string request_;
    Handlers handlers_;
    std::function<void()> idleCloseHandler_;
    bool connected_ = false;
    bool closed_ = false;
    bool active_ = false;
    bool writing_ = false;
    bool reading_ = false;
    bool headSeen_ = false;
    bool skipping_ = false;
    TimePoint reusableUntil_{};
};

using HttpClientConnectionPointer = std::shared_ptr<HttpClientConnection>;

}
