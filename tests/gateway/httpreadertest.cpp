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
    HttpResponseReader answers_{Limits};
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

// A second request that was dropped in silence would leave its caller without an answer.
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

// A request inside another one would be run by an endpoint without a key.
TEST_F(HttpReaderTest, Request_HasTwoLengths_IsMalformed)
{
    requests_.feed("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabc");
    EXPECT_EQ(requests_.state(), HttpReadState::Malformed);
}

TEST_F(HttpReaderTest, Answer_EndsWithChannel_IsFinishedOnlyThen)
{
    EXPECT_EQ(answers_.feed("HTTP/1.1 200 OK\r\n\r\nabc"), HttpReadState::Body);
    EXPECT_EQ(answers_.feedEnd(), HttpReadState::Finished);
    EXPECT_EQ(answers_.takeBody(), "abc");
}

// The answer to HEAD states a length without a body; waiting for the body would time out.
TEST_F(HttpReaderTest, Answer_BelongsToHead_IsFinishedAfterItsHead)
{
    answers_.expectNoBody();
    EXPECT_EQ(answers_.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"), HttpReadState::Finished);
}

TEST_F(HttpReaderTest, Answer_IsCutInsideBody_IsMalformed)
{
    answers_.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
    EXPECT_EQ(answers_.feedEnd(), HttpReadState::Malformed);
}

TEST_F(HttpReaderTest, ChunkedAnswer_IsCutBetweenChunks_IsMalformed)
{
    answers_.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    EXPECT_EQ(answers_.feedEnd(), HttpReadState::Malformed);
}

TEST_F(HttpReaderTest, Bytes_AreNoAnswer_AreMalformed)
{
    EXPECT_EQ(answers_.feed("\x01\x02garbage\r\n\r\n"), HttpReadState::Malformed);
}

TEST_F(HttpReaderTest, ChannelFields_AreAppended_AreLeftOut)
{
    HttpHead head;
    head.fields = {{"Connection", "close, X-Hop"}, {"X-Hop", "1"}, {"Keep-Alive", "timeout=3"}, {"X-End", "2"}, {"Dropped", "3"}};
    std::string text;
    appendEndToEndFields(text, head, {"dropped"});
    EXPECT_EQ(text, "X-End: 2\r\n");
}

}
