#pragma once

#include "gateway/responsesink.h"
#include "gateway/gatewaycontext.h"
#include "gateway/httpreader.h"
#include "gateway/requestexchange.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>

namespace Lentillock
{

/// One channel of a caller: reads requests one after the other, and writes their answers.
class CallerHttpConnection : public ResponseSink, public std::enable_shared_from_this<CallerHttpConnection>
{
public:
    CallerHttpConnection(GatewayContext &context, boost::asio::ip::tcp::socket socket, std::function<void(CallerHttpConnection *)> onClosed);

    void start();

    /// Closes the channel if no request is in progress on it; otherwise after the answer.
    void closeWhenIdle();

    /// Closes the channel without regard to a request in progress.
    void closeNow();

    [[nodiscard]] bool isIdle() const;

    void answer(const HttpHead &head, std::string body) override;
    void beginStream(const HttpHead &head) override;
    void continueStream(std::string bytes) override;
    void endStream() override;
    void cut() override;

private:
    void read();
    void process();
    void beginExchange();
    void rejectMalformed();
    void exchangeEnded();
    void write(std::string bytes);
    void writeNext();
    void armIdleTimer();
    void close();
    [[nodiscard]] std::string headText(const HttpHead &head) const;
    [[nodiscard]] bool keepsAlive() const;

    GatewayContext &context_;
    boost::asio::ip::tcp::socket socket_;
    std::function<void(CallerHttpConnection *)> onClosed_;
    HttpRequestReader reader_;
    std::array<char, 16384> buffer_{};
    std::deque<std::string> output_;
    std::shared_ptr<RequestExchange> exchange_;
    TimerService::Subscription idleTimer_ = 0;
    bool reading_ = false;
    bool writing_ = false;
    bool closing_ = false; ///< Close once everything has been written.
    bool closed_ = false;
    bool requestKeepsAlive_ = true;
    bool headTimed_ = false;
    bool continued_ = false; ///< The caller has been told to send the body.
};

}
