#pragma once

#include "gateway/gatewaycontext.h"
#include "gateway/httpreader.h"
#include "gateway/requestexchange.h"
#include "gateway/responsesink.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Lentillock
{

/// One HTTP/1.1 connection of a caller: processes its requests one after the other.
class CallerHttpConnection : public ResponseSink, public std::enable_shared_from_this<CallerHttpConnection>
{
public:
    CallerHttpConnection(GatewayContext &context, boost::asio::ip::tcp::socket socket, std::function<void(CallerHttpConnection *)> onClosed);

    void start();

    /// Closes the connection if no request is in progress on it. While the process drains, other connections close after their response.
    void closeIfIdle();

    /// Closes the connection even if a request is in progress.
    void closeNow();

    /// Ends the request in progress, if there is one, with an error response.
    void endRequest();

    [[nodiscard]] bool isIdle() const;

    /// Since when the connection has been waiting for bytes of the caller; std::nullopt while a request is in progress or a response is being written.
    [[nodiscard]] std::optional<TimePoint> waitingSince() const;

    void sendResponse(const HttpHead &head, std::string body) override;
    void startStream(const HttpHead &head) override;
    void writeStream(std::string bytes) override;
    void endStream() override;
    void abort() override;

private:
    void read();
    void receive(boost::system::error_code error);
    void readIfNeeded();
    /// Whether what the caller still sends is discarded, because its request has been rejected.
    [[nodiscard]] bool isRejecting() const;
    void processInput();
    void startExchange();
    void rejectMalformed();
    void onExchangeFinished();
    void write(std::string bytes);
    void writeNext();
    /// Closes the connection. If the caller may still be sending a request that was rejected, it can read the response before.
    void closeAfterLingering();
    void updateMemory();
    /// Frees the memory of a request that has not arrived whole, or of a response that is not read.
    void evict();
    void startIdleTimer();
    void close();
    [[nodiscard]] std::string formatHead(const HttpHead &head) const;
    [[nodiscard]] bool keepsAlive() const;

    GatewayContext &context_;
    boost::asio::ip::tcp::socket socket_;
    std::function<void(CallerHttpConnection *)> onClosed_;
    HttpRequestReader reader_;
    std::deque<std::string> output_;
    std::shared_ptr<RequestExchange> exchange_;
    TimerService::TimerId idleTimer_ = 0;
    bool reading_ = false;
    bool writing_ = false;
    bool closeAfterWrite_ = false; ///< Close after all pending output has been written.
    bool closed_ = false;
    bool requestKeepsAlive_ = true;
    bool headTimerStarted_ = false;
    bool isEvicted_ = false;
    std::size_t requestBytes_ = 0; ///< Of the body of the request in progress.
    std::size_t writingBytes_ = 0;
    TimePoint lastReceivedAt_{};
    bool continueSent_ = false; ///< "100 Continue" has been sent.
};

}
