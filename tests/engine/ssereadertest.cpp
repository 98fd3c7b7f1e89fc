#include "engine/ssereader.h"
#include "engine/requestpayload.h"
#include "engine/responsedecoder.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Lentillock
{
namespace
{

std::vector<SseEvent> readAtOnce(const std::string &bytes)
{
    SseReader reader;
    std::vector<SseEvent> events;
    EXPECT_TRUE(reader.feed(bytes, events));
    return events;
}

TEST(SseReaderTest, AllLineEndings_GiveTheSameEvents)
{
    const std::vector<SseEvent> expected{{"4", "a\nb"}, {"", "c"}};
    EXPECT_EQ(readAtOnce("id: 4\ndata: a\ndata:b\n\n: comment\ndata: c\n\n"), expected);
    EXPECT_EQ(readAtOnce("id: 4\r\ndata: a\r\ndata:b\r\n\r\n: comment\r\ndata: c\r\n\r\n"), expected);
    EXPECT_EQ(readAtOnce("id: 4\rdata: a\rdata:b\r\r: comment\rdata: c\r\r"), expected);
}

TEST(SseReaderTest, EventWithoutData_IsDropped)
{
    EXPECT_TRUE(readAtOnce("id: 1\n\nretry: 5\n\n\n\n").empty());
}

// Guards against an endpoint that exhausts the entry's memory by sending a line without an end.
TEST(SseReaderTest, UnterminatedLine_FailsAtTheLimit)
{
    SseReader reader(100);
    std::vector<SseEvent> events;
    EXPECT_TRUE(reader.feed(std::string(100, 'x'), events));
    EXPECT_FALSE(reader.feed("x", events));
    EXPECT_FALSE(reader.feed("\n\ndata: late\n\n", events));
    EXPECT_TRUE(events.empty());
}

TEST(SseReaderTest, ManyDataLinesOfOneEvent_CountTowardsTheLimit)
{
    SseReader reader(100);
    std::vector<SseEvent> events;
    bool accepted = true;
    for (int i = 0; i < 100 && accepted; ++i) {
        accepted = reader.feed("data: 12345678\n", events);
    }
    EXPECT_FALSE(accepted);
}

RC_GTEST_PROP(SseReaderProperty, InputIsSplitAnywhere_GivesTheSameEvents, ())
{
    const auto alphabet = rc::gen::element('\r', '\n', ':', ' ', 'd', 'a', 't', 'i', 'x', '\0');
    auto text = *rc::gen::container<std::string>(alphabet);
    text += "\ndata: end\n\n";
    const auto cuts = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, 5));
    SseReader reader;
    std::vector<SseEvent> events;
    std::size_t begin = 0;
    for (const std::size_t cut : cuts) {
        RC_ASSERT(reader.feed(std::string_view(text).substr(std::min(begin, text.size()), cut), events));
        begin += cut;
    }
    RC_ASSERT(reader.feed(std::string_view(text).substr(std::min(begin, text.size())), events));
    RC_ASSERT(events == readAtOnce(text));
}

std::optional<std::string> decode(const std::string &bytes, std::vector<DispatchInput> &inputs)
{
    ResponseDecoder decoder(AttemptId("a"));
    return decoder.decode(bytes, inputs);
}

TEST(ResponseDecoderTest, ChunkAndEnd_BecomeMessages)
{
    std::vector<DispatchInput> inputs;
    EXPECT_EQ(decode("id: 3\ndata: {\"text\":\"hi\",\"tokens\":2}\n\ndata: "
                     "{\"finish\":\"length\",\"position\":5,\"usage\":{\"prompt_tokens\":7,\"cached_tokens\":4}}\n\ngarbage after the end\n\n",
                     inputs),
              std::nullopt);
    ASSERT_EQ(inputs.size(), 2U);
    const auto &chunk = std::get<AttemptChunk>(inputs[0]);
    EXPECT_EQ(chunk.position, 3U);
    EXPECT_EQ(chunk.length, 2U);
    EXPECT_EQ(chunk.text, "hi");
    const auto &end = std::get<AttemptEnded>(inputs[1]);
    EXPECT_EQ(end.position, 5U);
    EXPECT_EQ(end.finishReason, "length");
    EXPECT_EQ(end.promptTokens, 7U);
    EXPECT_EQ(end.cachedTokens, 4U);
}

TEST(ResponseDecoderTest, MalformedEvents_AreErrors)
{
    for (const std::string event : {"data: [1]\n\n",
                                    "data: {\"text\":\"x\",\"tokens\":1}\n\n",
                                    "id: -1\ndata: {\"text\":\"x\",\"tokens\":1}\n\n",
                                    "id: 1x\ndata: {\"text\":\"x\",\"tokens\":1}\n\n",
                                    "id: 99999999999999999999\ndata: {\"text\":\"x\",\"tokens\":1}\n\n",
                                    "id: 1\ndata: {\"text\":5,\"tokens\":1}\n\n",
                                    "id: 1\ndata: {\"text\":\"x\",\"tokens\":-1}\n\n",
                                    "id: 1\ndata: {\"text\":\"x\",\"tokens\":1e300}\n\n",
                                    "data: {\"finish\":\"stop\"}\n\n",
                                    "data: {\"finish\":1,\"position\":1}\n\n",
                                    "data: {\n\n"}) {
        std::vector<DispatchInput> inputs;
        EXPECT_NE(decode(event, inputs), std::nullopt) << event;
        EXPECT_TRUE(inputs.empty()) << event;
    }
}

// Guards against a crash or an infinite loop when an endpoint sends arbitrary bytes.
RC_GTEST_PROP(ResponseDecoderProperty, ArbitraryEvents_GiveAtMostOneEnd, (const std::string &bytes))
{
    ResponseDecoder decoder(AttemptId("a"));
    std::vector<DispatchInput> inputs;
    const std::string stream = "data: " + bytes + "\n\nid: 0\ndata: {\"text\":\"\",\"tokens\":0}\n\ndata: {\"finish\":\"stop\",\"position\":0}\n\n";
    bool failed = false;
    for (const char byte : stream) {
        failed = failed || decoder.decode(std::string_view(&byte, 1), inputs).has_value();
    }
    const auto ends = std::count_if(inputs.begin(), inputs.end(), [](const auto &input) { return std::holds_alternative<AttemptEnded>(input); });
    RC_ASSERT(ends <= 1);
}

RC_GTEST_PROP(RequestPayloadProperty, JsonString_IsEscapedWithExactSize, ())
{
    const auto text = *rc::gen::container<std::string>(rc::gen::element('a', '"', '\\', '\n', '\x01', '\x1f', '\t', '\r', ' '));
    const auto capacity = *rc::gen::inRange<std::size_t>(1, 9);
    const auto offset = *rc::gen::inRange<std::size_t>(0, 4);
    RequestPayload payload = RequestPayload::jsonString("{\"prompt\":", std::make_shared<const std::string>(text), offset, std::string::npos, "}");
    for (int round = 0; round < 2; ++round) {
        std::string body;
        std::string buffer(capacity, '\0');
        while (const std::size_t count = payload.read(buffer.data(), capacity)) {
            body.append(buffer, 0, count);
        }
        RC_ASSERT(body.size() == payload.size());
        const boost::json::value value = boost::json::parse(body);
        RC_ASSERT(std::string(value.at("prompt").as_string()) == text.substr(std::min(offset, text.size())));
        payload.rewind();
    }
}

}
}
