#include "gateway/endpointconnectionpool.h"

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace Lentillock
{

namespace
{

using boost::asio::ip::tcp;

/// An endpoint that accepts connections, and answers or resets them as the test says.
class EndpointConnectionCountsTest : public testing::Test
{
protected:
    HttpClientConnectionPointer open()
    {
        HttpClientConnectionPointer connection = pool_.acquire(endpoint_, ConnectionReuse::Never, monotonicNow());
        HttpClientConnection::Handlers handlers;
        handlers.onHead = [](const HttpHead &) { return ResponseDisposition::Accept; };
        handlers.onBody = [](const std::string &) {};
        handlers.onFinished = [this] { ++finished_; };
        handlers.onFailed = [this](ExchangeFailure) { pool_.recordLoss(endpoint_, monotonicNow()); };
        connection->exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n", std::move(handlers));
        sockets_.push_back(acceptor_.accept());
        io_.run_for(20ms);
        return connection;
    }

    EndpointConnectionCounts counts() const
    {
        return pool_.counts(endpoint_, monotonicNow());
    }

    boost::asio::io_context io_;
    tcp::acceptor acceptor_{io_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
    EndpointRecord endpoint_{.id = EndpointId("i-1"), .address = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()), .startedAtMs = 1};
    EndpointConnectionPool pool_{io_};
    std::vector<tcp::socket> sockets_;
    int finished_ = 0;
};

TEST_F(EndpointConnectionCountsTest, EndpointClosesAllConnections_AreCounted_AsLost)
{
    const HttpClientConnectionPointer busy = open();
    const HttpClientConnectionPointer idle = open();
    boost::asio::write(sockets_[1], boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
    io_.run_for(20ms);
    ASSERT_EQ(finished_, 1);
    pool_.release(endpoint_, idle, 4, monotonicNow());
    EXPECT_EQ(counts(), (EndpointConnectionCounts{.open = 2, .lost = 0}));
    sockets_.clear();
    io_.run_for(20ms);
    EXPECT_EQ(counts(), (EndpointConnectionCounts{.open = 0, .lost = 2}));
}

TEST_F(EndpointConnectionCountsTest, EndpointClosesOneConnection_OthersAreCounted_AsOpen)
{
    const HttpClientConnectionPointer kept = open();
    const HttpClientConnectionPointer lost = open();
    sockets_.pop_back();
    io_.run_for(20ms);
    EXPECT_EQ(counts(), (EndpointConnectionCounts{.open = 1, .lost = 1}));
}

TEST_F(EndpointConnectionCountsTest, GatewayClosesConnection_IsNotCounted_AsLost)
{
    open()->close();
    EXPECT_EQ(counts(), EndpointConnectionCounts());
}

TEST_F(EndpointConnectionCountsTest, EndpointRestarts_CountsOfFormerIncarnation_DoNotApply)
{
    pool_.recordLoss(endpoint_, monotonicNow());
    EndpointRecord restarted = endpoint_;
    restarted.startedAtMs = 2;
    EXPECT_EQ(pool_.counts(restarted, monotonicNow()), EndpointConnectionCounts());
}

}

// An endpoint resets connections beyond its limit. With 16 idle connections from each of 73 VMs, an endpoint with a limit of 110 would reset new
// connections, and the requests on them would fail.
TEST(IdleConnectionLimitTest, ManyVms_KeepIdleConnections_LeaveRoomForBusyOnes)
{
    for (const std::size_t maxConnections : {1U, 49U, 110U, 264U, 568U}) {
        for (const std::size_t vmCount : {1U, 7U, 73U, 300U, 810U}) {
            EXPECT_LE(2 * vmCount * idleConnectionLimit(maxConnections, vmCount), maxConnections) << maxConnections << " connections, " << vmCount << " VMs";
        }
    }
}

TEST(IdleConnectionLimitTest, FewVms_KeepSome)
{
    EXPECT_EQ(idleConnectionLimit(49, 7), 3U);
    EXPECT_EQ(idleConnectionLimit(568, 68), 4U);
}

TEST(IdleConnectionLimitTest, LimitIsNotStated_KeepsDefaultNumber)
{
    EXPECT_GT(idleConnectionLimit(0, 73), 0U);
}

}
