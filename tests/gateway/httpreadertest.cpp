#include "gateway/httpreader.h"

#include <gtest/gtest.h>

namespace Lentillock
{

namespace
{

constexpr HttpReadLimits Limits{.headBytes = 512, .bodyBytes = 64};

class HttpReaderTest : public testing::Test
{
protected:
    HttpRequestReader requests_{Limits};
    HttpResponseReader responses_{Limits};
};

}

TEST_F(HttpReaderTest, Request_ArrivesByteByByte_IsReadWhole)
{
    const std::string text = "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nX-Mixed-Case: v\r\nContent-Length: 3\r\n\r\nxyz";
    for (const char byte : text) {
        EXPECT_NE(requests_.state(), HttpReadState::Finished);
        requests_.feed({&byte, 1});
    }
    ASSERT_EQ(requests_.state(), HttpReadState::Finished);
    EXPECT_EQ(requests_.head().method, "POST");
    EXPECT_EQ(requests_.head().target, "/a/b?c=d");
    EXPECT_EQ(fieldValue(requests_.head(), "x-mixed-case"), "v");
    EXPECT_EQ(requests_.takeBody(), "xyz");
}

// If a pipelined request were dropped, its caller would never get a response.
TEST_F(HttpReaderTest, Request_FollowsAnother_IsKeptForLater)
{
    requests_.feed("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_EQ(requests_.state(), HttpReadState::Finished);
    EXPECT_TRUE(requests_.hasUnreadBytes());
    ASSERT_EQ(requests_.next(), HttpReadState::Finished);
    EXPECT_EQ(requests_.head().target, "/2");
    EXPECT_EQ(requests_.next(), HttpReadState::Start);
}

TEST_F(HttpReaderTest, ChunkedBody_IsRead_IsJoined)
{
    requests_.feed("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
    ASSERT_EQ(requests_.state(), HttpReadState::Finished);
    EXPECT_EQ(requests_.takeBody(), "abc");
}

TEST_F(HttpReaderTest, Head_ExceedsLimit_IsReported)
{
    requests_.feed("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(600, 'x') + "\r\n\r\n");
    EXPECT_EQ(requests_.state(), HttpReadState::Malformed);
    EXPECT_TRUE(requests_.exceedsHeadLimit());
}

TEST_F(HttpReaderTest, Body_ExceedsLimit_IsReported)
{
    requests_.feed("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n");
    EXPECT_EQ(requests_.state(), HttpReadState::Malformed);
    EXPECT_TRUE(requests_.exceedsBodyLimit());
}

// Guards against request smuggling: an endpoint would run a request that is hidden in another one, without a check of its API key.
TEST_F(HttpReaderTest, Request_HasTwoLengths_IsMalformed)
{
    requests_.feed("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabc");
    EXPECT_EQ(requests_.state(), HttpReadState::Malformed);
}

TEST_F(HttpReaderTest, Response_EndsWithConnection_IsFinishedOnlyThen)
{
    EXPECT_EQ(responses_.feed("HTTP/1.1 200 OK\r\n\r\nabc"), HttpReadState::Body);
    EXPECT_EQ(responses_.feedEnd(), HttpReadState::Finished);
    EXPECT_EQ(responses_.takeBody(), "abc");
}

// The response to HEAD states a length but has no body; waiting for the body would time out.
TEST_F(HttpReaderTest, Response_BelongsToHead_IsFinishedAfterItsHead)
{
    responses_.expectNoBody();
    EXPECT_EQ(responses_.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"), HttpReadState::Finished);
}

TEST_F(HttpReaderTest, Response_IsTruncatedInsideBody_IsMalformed)
{
    responses_.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
    EXPECT_EQ(responses_.feedEnd(), HttpReadState::Malformed);
}

TEST_F(HttpReaderTest, ChunkedResponse_IsTruncatedBetweenChunks_IsMalformed)
{
    responses_.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    EXPECT_EQ(responses_.feedEnd(), HttpReadState::Malformed);
}

TEST_F(HttpReaderTest, Bytes_AreNoResponse_AreMalformed)
{
    EXPECT_EQ(responses_.feed("\x01\x02garbage\r\n\r\n"), HttpReadState::Malformed);
}

TEST_F(HttpReaderTest, HopByHopFields_AreAppended_AreOmitted)
{
    HttpHead head;
    head.fields = {{"Connection", "close, X-Hop"}, {"X-Hop", "1"}, {"Keep-Alive", "timeout=3"}, {"X-End", "2"}, {"Dropped", "3"}};
    std::string text;
    appendEndToEndFields(text, head, {"dropped"});
    EXPECT_EQ(text, "X-End: 2\r\n");
}

}
