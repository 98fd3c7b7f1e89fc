#include "gateway/eventsplitter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Lentillock
{

// Guards against relaying a part of an event: after a resume at another endpoint, the events of another run
// would follow it and mix the responses of two runs.
TEST(EventSplitterTest, Event_IsIncomplete_IsBuffered)
{
    EventSplitter splitter;
    EXPECT_TRUE(splitter.feed("id: 1\ndata: a").empty());
    EXPECT_TRUE(splitter.hasPartialEvent());
    const auto events = splitter.feed("\n\nid: 2\n");
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].bytes, "id: 1\ndata: a\n\n");
    EXPECT_EQ(events[0].id, 1U);
}

TEST(EventSplitterTest, Event_EndsWithCarriageReturns_IsSplit)
{
    EventSplitter splitter;
    const auto events = splitter.feed("id:7\r\ndata: a\r\n\r\nid:8\r\n\r\n");
    ASSERT_EQ(events.size(), 2U);
    EXPECT_EQ(events[1].id, 8U);
}

TEST(EventSplitterTest, Event_HasNoId_IsReturned)
{
    EventSplitter splitter;
    const auto events = splitter.feed("data: id: 3\n\n");
    ASSERT_EQ(events.size(), 1U);
    EXPECT_FALSE(events[0].id.has_value());
}

RC_GTEST_PROP(EventSplitterTest, Stream_IsSplitAnywhere_KeepsItsBytes, ())
{
    const auto count = *rc::gen::inRange(1, 8);
    std::string stream;
    for (int index = 0; index < count; ++index) {
        stream += "id: " + std::to_string(index) + "\ndata: x\n\n";
    }
    EventSplitter splitter;
    std::string joined;
    std::size_t start = 0;
    while (start < stream.size()) {
        const auto length = *rc::gen::inRange<std::size_t>(1, stream.size() - start + 1);
        for (const StreamEvent &event : splitter.feed(stream.substr(start, length))) {
            joined += event.bytes;
        }
        start += length;
    }
    RC_ASSERT(joined == stream);
    RC_ASSERT(!splitter.hasPartialEvent());
}

// Guards against ends of events that lie across pieces, since what was searched is not searched again.
RC_GTEST_PROP(EventSplitterTest, StreamWithMixedLineEnds_IsSplitAnywhere_HasSameEvents, ())
{
    const auto text = *rc::gen::container<std::string>(rc::gen::element('a', '\n', '\r'));
    std::vector<std::string> whole;
    for (const StreamEvent &event : EventSplitter().feed(text)) {
        whole.push_back(event.bytes);
    }
    EventSplitter splitter;
    std::vector<std::string> inPieces;
    std::size_t start = 0;
    while (start < text.size()) {
        const auto length = *rc::gen::inRange<std::size_t>(1, text.size() - start + 1);
        for (const StreamEvent &event : splitter.feed(text.substr(start, length))) {
            inPieces.push_back(event.bytes);
        }
        start += length;
    }
    RC_ASSERT(inPieces == whole);
}

TEST(EventSplitterTest, Event_HasOnlyCommentLines_IsComment)
{
    const auto events = EventSplitter().feed(": ping\n\n:\r\n\r\n: note\ndata: x\n\n\n\n");
    ASSERT_EQ(events.size(), 4U);
    EXPECT_TRUE(events[0].isComment && events[1].isComment && events[3].isComment);
    EXPECT_FALSE(events[2].isComment);
}

}
