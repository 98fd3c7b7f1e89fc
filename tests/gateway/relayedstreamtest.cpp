#include "gateway/relayedstream.h"

#include <gtest/gtest.h>

namespace Lentillock
{

namespace
{

const TimePoint Start(1000s);

StreamEvent event(std::uint64_t id)
{
    return {.bytes = std::to_string(id) + ';', .id = id};
}

}

TEST(RelayedStreamTest, AnotherEndpointResumes_EventsOverlap_CallerGetsEachOnce)
{
    RelayedStream stream({});
    EXPECT_EQ(stream.accept({event(1), event(2)}, Start), "1;2;");
    EXPECT_EQ(stream.lastEventId(), 2U);
    EXPECT_EQ(stream.accept({event(2), event(3)}, Start + 1s), "3;");
    EXPECT_EQ(stream.accept({event(1), event(2), event(3)}, Start + 2s), "");
    EXPECT_EQ(stream.eventCount(), 3U);
}

TEST(RelayedStreamTest, CallerResumes_EarlierEventsArrive_AreSkipped)
{
    RelayedStream stream(7);
    EXPECT_EQ(stream.accept({event(7)}, Start), "");
    EXPECT_FALSE(stream.firstEventAt());
    EXPECT_EQ(stream.accept({event(8)}, Start + 100ms), "8;");
    EXPECT_EQ(stream.firstEventAt(), Start + 100ms);
}

TEST(RelayedStreamTest, Pause_IsMeasuredBetweenRelayedEvents)
{
    RelayedStream stream({});
    stream.accept({event(1)}, Start);
    stream.accept({event(1)}, Start + 300ms);
    EXPECT_EQ(stream.longestPause(), Duration::zero());
    stream.accept({event(2)}, Start + 500ms);
    stream.accept({event(3)}, Start + 600ms);
    EXPECT_EQ(stream.longestPause(), 500ms);
}

TEST(RelayedStreamTest, EventsHaveNoIds_AllAreRelayed)
{
    RelayedStream stream({});
    EXPECT_EQ(stream.accept({{.bytes = "a", .id = {}}, {.bytes = "a", .id = {}}}, Start), "aa");
    EXPECT_FALSE(stream.lastEventId());
    EXPECT_EQ(stream.eventCount(), 2U);
}

// Guards against a stalled stream that never ends because its endpoint sends a comment now and then.
TEST(RelayedStreamTest, CommentArrives_IsRelayed_DoesNotCountAsEvent)
{
    RelayedStream stream({});
    EXPECT_EQ(stream.accept({event(1)}, Start), "1;");
    EXPECT_EQ(stream.accept({{.bytes = ": ping\n\n", .id = std::nullopt, .isComment = true}}, Start + 1s), ": ping\n\n");
    EXPECT_EQ(stream.eventCount(), 1U);
    stream.accept({event(2)}, Start + 3s);
    EXPECT_EQ(stream.longestPause(), 3s);
}

// Decides whether an endpoint that has been silent responds again: neither comments nor events that another endpoint has sent meanwhile count.
TEST(RelayedStreamTest, EventsArrive_OnlyEventsThatTheCallerLacks_AreNew)
{
    RelayedStream stream({});
    stream.accept({event(1), event(2)}, Start);
    EXPECT_FALSE(stream.hasNewEvent({}));
    EXPECT_FALSE(stream.hasNewEvent({event(1), event(2)}));
    EXPECT_FALSE(stream.hasNewEvent({{.bytes = ": ping\n\n", .id = std::nullopt, .isComment = true}}));
    EXPECT_TRUE(stream.hasNewEvent({event(2), event(3)}));
    EXPECT_TRUE(stream.hasNewEvent({{.bytes = "a", .id = {}}}));
}

}
