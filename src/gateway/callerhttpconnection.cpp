#include "gateway/callerhttpconnection.h"

#include "gateway/httpclientconnection.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>

#include <cstdio>

namespace Lentillock
{

namespace
{

/// Seconds after which a caller is asked to retry whose request was not read whole because memory is used up.
constexpr std::string_view EvictionRetryAfter = "1.00";

/// Time for which a caller that is still sending can read the response to a rejected request before the connection is closed, which discards it.
constexpr Duration LingerTime = 500ms;

CallerLimits callerLimits(const GatewayContext &context)
{
    return context.plan ? context.plan->limits() : CallerLimits();
}

HttpReadLimits readLimits(const GatewayContext &context)
{
    const CallerLimits limits = callerLimits(context);
    return {.headBytes = limits.headBytes, .bodyBytes = limits.bodyBytes};
}

HttpHead headWithStatus(unsigned status)
{
    HttpHead head;
    head.status = status;
    return head;
}

}

CallerHttpConnection::CallerHttpConnection(GatewayContext &context, boost::asio::ip::tcp::socket socket, std::function<void(CallerHttpConnection *)> onClosed)
    : context_(context)
    , socket_(std::move(socket))
    , onClosed_(std::move(onClosed))
    , reader_(readLimits(context))
{
}

void CallerHttpConnection::start()
{
    setKeepAliveOptions(socket_);
    boost::system::error_code ignored; // Without it, a read waits until bytes arrive, which the wait before it has shown.
    socket_.non_blocking(true, ignored);
    lastReceivedAt_ = monotonicNow();
    startIdleTimer();
    read();
}

void CallerHttpConnection::closeIfIdle()
{
    if (isIdle()) {
        close();
    }
}

void CallerHttpConnection::closeNow()
{
    close();
}

void CallerHttpConnection::endRequest()
{
    if (const auto exchange = exchange_) {
        exchange->onVmStopping();
    }
}

std::optional<TimePoint> CallerHttpConnection::waitingSince() const
{
    return exchange_ || writing_ ? std::nullopt : std::optional(lastReceivedAt_);
}

bool CallerHttpConnection::isIdle() const
{
    return !exchange_ && !writing_ && reader_.state() == HttpReadState::Start;
}

void CallerHttpConnection::read()
{
    if (reading_ || closed_) {
        return;
    }
    reading_ = true;
    // Waits without a buffer, so that idle connections take no memory for one.
    socket_.async_wait(boost::asio::socket_base::wait_read, [self = shared_from_this()](const boost::system::error_code &error) {
        self->reading_ = false;
        if (!self->closed_) {
            self->receive(error);
        }
    });
}

void CallerHttpConnection::receive(boost::system::error_code error)
{
    std::size_t size = 0;
    if (!error) {
        size = socket_.read_some(boost::asio::buffer(context_.callerReadBuffer), error);
    }
    if (error && error != boost::asio::error::would_block) {
        close();
        return;
    }
    if (size > 0 && !isRejecting()) {
        lastReceivedAt_ = monotonicNow();
        reader_.feed({context_.callerReadBuffer.data(), size});
        processInput();
        updateMemory();
    }
    readIfNeeded();
}

void CallerHttpConnection::readIfNeeded()
{
    // Keep reading during a request to detect that the caller disconnects, until bytes of a pipelined request have arrived.
    if (!exchange_ || !reader_.hasUnreadBytes()) {
        read();
    }
}

bool CallerHttpConnection::isRejecting() const
{
    return closeAfterWrite_ || isEvicted_ || reader_.state() == HttpReadState::Malformed;
}

void CallerHttpConnection::processInput()
{
    if (exchange_ || closeAfterWrite_ || closed_) {
        return;
    }
    switch (reader_.state()) {
    case HttpReadState::Finished:
        startExchange();
        break;
    case HttpReadState::Malformed:
        rejectMalformed();
        break;
    case HttpReadState::Body:
        if (!continueSent_ && sameFieldName(fieldValue(reader_.head(), "Expect"), "100-continue")) {
            continueSent_ = true;
            write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        [[fallthrough]];
    case HttpReadState::Head:
        if (!headTimerStarted_) {
            headTimerStarted_ = true;
            startIdleTimer();
        }
        break;
    case HttpReadState::Start:
        break;
    }
}

void CallerHttpConnection::startExchange()
{
    context_.timers.cancel(idleTimer_);
    requestKeepsAlive_ = reader_.head().keepAlive;
    auto body = std::make_shared<const std::string>(reader_.takeBody());
    requestBytes_ = body->size();
    context_.callerMemory.remove(this);
    const bool isAdmitted = context_.callerMemory.admits(requestBytes_);
    if (!isAdmitted) {
        context_.metrics.increment("lentillock_caller_memory_rejections_total");
        body = std::make_shared<const std::string>();
        requestBytes_ = 0;
    }
    exchange_
        = std::make_shared<RequestExchange>(context_, *this, CallerRequest{.head = reader_.head(), .body = std::move(body), .receivedAt = monotonicNow()});
    const auto exchange = exchange_;
    if (isAdmitted) {
        exchange->start();
    } else {
        exchange->rejectForMemory();
    }
}

void CallerHttpConnection::updateMemory()
{
    if (closed_) {
        return;
    }
    std::size_t unsentBytes = writingBytes_;
    for (const std::string &bytes : output_) {
        unsentBytes += bytes.size();
    }
    const bool isEvictable = !exchange_ || unsentBytes > OrdinaryRequestBytes;
    context_.callerMemory.update(
        this, reader_.heldBytes() + requestBytes_ + unsentBytes, isEvictable ? CallerMemory::Evict([this] { evict(); }) : CallerMemory::Evict());
    if (context_.callerMemory.mustEnforce()) {
        // An exchange that is on the stack may be one of those that end.
        boost::asio::post(socket_.get_executor(), [&memory = context_.callerMemory] { memory.enforce(); });
    }
}

void CallerHttpConnection::evict()
{
    context_.metrics.increment("lentillock_callers_evicted_total", {{"cause", "memory"}});
    if (exchange_ || writing_ || !output_.empty()) {
        close();
        return;
    }
    isEvicted_ = true;
    reader_.discard();
    requestKeepsAlive_ = false;
    HttpHead head = headWithStatus(503);
    head.fields.emplace_back("Retry-After", std::string(EvictionRetryAfter));
    sendResponse(head, {});
}

void CallerHttpConnection::rejectMalformed()
{
    unsigned status = 400;
    if (reader_.exceedsHeadLimit()) {
        status = 431;
    } else if (reader_.exceedsBodyLimit()) {
        status = 413;
    }
    context_.metrics.increment("lentillock_malformed_requests_total");
    requestKeepsAlive_ = false;
    sendResponse(headWithStatus(status), {});
}

bool CallerHttpConnection::keepsAlive() const
{
    return requestKeepsAlive_ && !context_.drainingSince;
}

std::string CallerHttpConnection::formatHead(const HttpHead &head) const
{
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + ' ';
    if (head.reason.empty()) {
        const auto reason = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(head.status));
        text.append(reason.data(), reason.size());
    } else {
        text += head.reason;
    }
    text += "\r\n";
    appendEndToEndFields(text, head, {});
    if (!keepsAlive()) {
        appendField(text, "Connection", "close");
    }
    return text;
}

void CallerHttpConnection::sendResponse(const HttpHead &head, std::string body)
{
    std::string text = formatHead(head);
    // The response to HEAD states the length of the body that it omits.
    const bool isHead = reader_.state() == HttpReadState::Finished && reader_.head().method == "HEAD";
    const std::string_view statedLength = isHead ? fieldValue(head, "Content-Length") : std::string_view();
    appendField(text, "Content-Length", statedLength.empty() ? std::to_string(body.size()) : std::string(statedLength));
    write(text + "\r\n" + body);
    onExchangeFinished();
}

void CallerHttpConnection::startStream(const HttpHead &head)
{
    std::string text = formatHead(head);
    appendField(text, "Transfer-Encoding", "chunked");
    write(text + "\r\n");
}

void CallerHttpConnection::writeStream(std::string bytes)
{
    std::array<char, 24> size{};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    write(std::string(size.data(), static_cast<std::size_t>(length)) + bytes + "\r\n");
}

void CallerHttpConnection::endStream()
{
    write("0\r\n\r\n");
    onExchangeFinished();
}

void CallerHttpConnection::abort()
{
    close();
}

void CallerHttpConnection::onExchangeFinished()
{
    // The exchange is still on the stack; the event loop destroys it later and then processes the next request.
    boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
        if (self->closed_) {
            return;
        }
        self->exchange_.reset();
        self->requestBytes_ = 0;
        self->updateMemory();
        if (self->closed_) {
            return;
        }
        if (!self->keepsAlive()) {
            self->closeAfterWrite_ = true;
            self->writeNext();
            return;
        }
        self->headTimerStarted_ = false;
        self->continueSent_ = false;
        self->startIdleTimer();
        self->reader_.next();
        self->processInput();
        self->readIfNeeded();
    });
}

void CallerHttpConnection::write(std::string bytes)
{
    if (closed_) {
        return;
    }
    output_.push_back(std::move(bytes));
    if (!writing_) {
        writeNext();
    }
    updateMemory();
}

void CallerHttpConnection::writeNext()
{
    if (closed_ || writing_) {
        return;
    }
    if (output_.empty()) {
        if (closeAfterWrite_) {
            closeAfterLingering();
        }
        return;
    }
    writing_ = true;
    auto batch = std::make_shared<std::string>(std::move(output_.front()));
    output_.pop_front();
    while (!output_.empty() && batch->size() < OrdinaryRequestBytes) {
        *batch += output_.front();
        output_.pop_front();
    }
    writingBytes_ = batch->size();
    boost::asio::async_write(socket_, boost::asio::buffer(*batch), [self = shared_from_this(), batch](const boost::system::error_code &error, std::size_t) {
        self->writing_ = false;
        self->writingBytes_ = 0;
        if (error) {
            self->close();
            return;
        }
        self->writeNext();
        self->updateMemory();
    });
}

void CallerHttpConnection::closeAfterLingering()
{
    if (!isEvicted_ && reader_.state() != HttpReadState::Malformed) {
        close();
        return;
    }
    boost::system::error_code ignored; // The connection is closed in any case.
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    context_.timers.cancel(idleTimer_);
    idleTimer_ = context_.timers.scheduleOnce(monotonicNow() + LingerTime, [weak = weak_from_this()](TimePoint) {
        if (const auto self = weak.lock()) {
            self->close();
        }
    });
}

void CallerHttpConnection::startIdleTimer()
{
    context_.timers.cancel(idleTimer_);
    const CallerLimits limits = callerLimits(context_);
    const Duration limit = headTimerStarted_ ? limits.headTimeout : limits.idleTimeout;
    idleTimer_ = context_.timers.scheduleOnce(monotonicNow() + limit, [weak = weak_from_this()](TimePoint) {
        const auto self = weak.lock();
        if (self && !self->exchange_) {
            self->close();
        }
    });
}

void CallerHttpConnection::close()
{
    if (std::exchange(closed_, true)) {
        return;
    }
    context_.timers.cancel(idleTimer_);
    context_.callerMemory.remove(this);
    boost::system::error_code ignored; // The connection is unusable afterwards either way.
    socket_.close(ignored);
    if (const auto exchange = std::exchange(exchange_, nullptr)) {
        exchange->onCallerDisconnected();
        boost::asio::post(socket_.get_executor(), [exchange] {});
    }
    onClosed_(this);
}

}
