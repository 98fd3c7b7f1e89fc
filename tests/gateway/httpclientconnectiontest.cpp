#include "gateway/httpclientconnection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace Lentillock
{

namespace
{

using boost::asio::ip::tcp;

/// The server gives up after this number of bytes, so that the test ends if the client does not.
constexpr std::size_t MaxSentBytes = 64ULL * 1024 * 1024;

/// Bytes that may be in the buffers of both sockets when the client closes the connection.
constexpr std::size_t SocketBufferBytes = 8ULL * 1024 * 1024;

constexpr std::size_t HeadLimit = 65536;

class HttpClientConnectionTest : public testing::Test
{
protected:
    /// A server sends @p start and then @p part again and again. Returns the failure that the client reports.
    std::optional<ExchangeFailure> receiveEndless(const std::string &start, const std::string &part)
    {
        part_ = part;
        while (part_.size() < 65536) {
            part_ += part;
        }
        tcp::acceptor acceptor(io_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        acceptor.async_accept([this, start](const boost::system::error_code &error, tcp::socket socket) {
            if (!error) {
                server_.emplace(std::move(socket));
                send(start);
            }
        });
        const auto client = std::make_shared<HttpClientConnection>(io_, acceptor.local_endpoint(), 5s);
        std::optional<ExchangeFailure> failure;
        HttpClientConnection::Handlers handlers;
        handlers.onHead = [](const HttpHead &head) { return head.status == 299 ? ResponseDisposition::Skip : ResponseDisposition::Accept; };
        handlers.onBody = [this](const std::string &bytes) { receivedBody_ += bytes.size(); };
        handlers.onFinished = [] {};
        handlers.onFailed = [&failure](ExchangeFailure reason) { failure = reason; };
        client->exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n", std::move(handlers));
        io_.run();
        return failure;
    }

    void send(std::string bytes)
    {
        sending_ = std::move(bytes);
        boost::asio::async_write(*server_, boost::asio::buffer(sending_), [this](const boost::system::error_code &error, std::size_t size) {
            sentBytes_ += size;
            if (error || sentBytes_ >= MaxSentBytes) {
                server_->close();
                return;
            }
            send(part_);
        });
    }

    boost::asio::io_context io_;
    std::optional<tcp::socket> server_;
    std::string part_;
    std::string sending_;
    std::size_t sentBytes_ = 0;
    std::size_t receivedBody_ = 0;
};

}

TEST_F(HttpClientConnectionTest, StatusLine_HasNoEnd_ConnectionIsClosed)
{
    EXPECT_EQ(receiveEndless("HTTP/1.1 200 ", "x"), ExchangeFailure::Malformed);
    EXPECT_LE(sentBytes_, HeadLimit + SocketBufferBytes);
}

TEST_F(HttpClientConnectionTest, HeaderLine_HasNoEnd_ConnectionIsClosed)
{
    EXPECT_EQ(receiveEndless("HTTP/1.1 200 OK\r\nA: ", "x"), ExchangeFailure::Malformed);
    EXPECT_LE(sentBytes_, HeadLimit + SocketBufferBytes);
}

TEST_F(HttpClientConnectionTest, HeaderLines_HaveNoEnd_ConnectionIsClosed)
{
    EXPECT_EQ(receiveEndless("HTTP/1.1 200 OK\r\n", "A: b\r\n"), ExchangeFailure::Malformed);
    EXPECT_LE(sentBytes_, HeadLimit + SocketBufferBytes);
}

TEST_F(HttpClientConnectionTest, ChunkSize_HasNoEnd_ConnectionIsClosed)
{
    EXPECT_EQ(receiveEndless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"), ExchangeFailure::Malformed);
    EXPECT_LE(sentBytes_, HeadLimit + SocketBufferBytes);
}

TEST_F(HttpClientConnectionTest, ChunkExtension_HasNoEnd_ConnectionIsClosed)
{
    EXPECT_EQ(receiveEndless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x"), ExchangeFailure::Malformed);
    EXPECT_LE(sentBytes_, HeadLimit + SocketBufferBytes);
}

TEST_F(HttpClientConnectionTest, Trailer_HasNoEnd_ConnectionIsClosed)
{
    EXPECT_EQ(receiveEndless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"), ExchangeFailure::Malformed);
    EXPECT_LE(sentBytes_, HeadLimit + SocketBufferBytes);
}

TEST_F(HttpClientConnectionTest, BodyUntilClose_HasNoEnd_ConnectionIsClosed)
{
    EXPECT_EQ(receiveEndless("HTTP/1.1 200 OK\r\n\r\n", "x"), ExchangeFailure::Malformed);
    EXPECT_LE(receivedBody_, DefaultResponseLimits.bodyBytes);
}

TEST_F(HttpClientConnectionTest, ChunkedBody_HasNoEnd_ConnectionIsClosed)
{
    EXPECT_EQ(receiveEndless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n"), ExchangeFailure::Malformed);
    EXPECT_LE(receivedBody_, DefaultResponseLimits.bodyBytes);
}

TEST_F(HttpClientConnectionTest, InterimResponses_HaveNoEnd_ConnectionIsClosed)
{
    EXPECT_EQ(receiveEndless("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"), ExchangeFailure::Malformed);
    EXPECT_LE(sentBytes_, SocketBufferBytes);
}

// The handler skips status 299, as it does for responses to other requests.
TEST_F(HttpClientConnectionTest, ForeignResponses_HaveNoEnd_ConnectionIsClosed)
{
    const std::string response = "HTTP/1.1 299 OK\r\nContent-Length: 1\r\n\r\nx";
    EXPECT_EQ(receiveEndless(response, response), ExchangeFailure::Malformed);
    EXPECT_LE(sentBytes_, SocketBufferBytes);
}

TEST_F(HttpClientConnectionTest, BlankLines_HaveNoEnd_ConnectionIsClosed)
{
    EXPECT_EQ(receiveEndless("\r\n", "\r\n"), ExchangeFailure::Malformed);
    EXPECT_LE(sentBytes_, SocketBufferBytes);
}

}
