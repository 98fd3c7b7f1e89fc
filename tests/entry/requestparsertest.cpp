#include "entry/completionbody.h"
#include "entry/httprequestparser.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Lentillock
{
namespace
{

/// Parses the pieces; returns method, target and body of each request, and the status of the error response if there is one.
std::string parseOutcome(const std::vector<std::string> &pieces)
{
    HttpRequestParser parser({.maxHeadBytes = 256, .maxBodyBytes = 64});
    std::string result;
    for (const std::string &piece : pieces) {
        parser.append(piece);
        for (auto step = parser.next(); step != HttpRequestParser::Step::NeedsInput; step = parser.next()) {
            if (step == HttpRequestParser::Step::Failed) {
                return result + '!' + std::to_string(parser.error().status);
            }
            if (step == HttpRequestParser::Step::Done) {
                result += parser.head().method + ' ' + parser.head().target + ' ' + parser.takeBody() + ';';
                parser.startNext();
            }
        }
    }
    return result;
}

/// Generates concatenated fragments that form valid, malformed or ambiguous requests.
rc::Gen<std::string> requestBytes()
{
    const auto fragment = rc::gen::element<std::string>("GET / HTTP/1.1\r\n",
                                                        "POST /a?b=c HTTP/1.1\r\n",
                                                        "Content-Length: 3\r\n",
                                                        "Content-Length: 99999999999999999999\r\n",
                                                        "Content-Length: -1\r\n",
                                                        "Transfer-Encoding: chunked\r\n",
                                                        "Host: x\r\n",
                                                        "X: \t y \r\n",
                                                        " folded\r\n",
                                                        "\r\n",
                                                        "\r\n\r\n",
                                                        "abc",
                                                        "3\r\nabc\r\n",
                                                        "0\r\n\r\n",
                                                        "\n",
                                                        std::string("\0\xff", 2),
                                                        "Expect: 100-continue\r\n",
                                                        "HTTP/9.9");
    return rc::gen::map(rc::gen::container<std::vector<std::string>>(fragment), [](const std::vector<std::string> &fragments) {
        std::string bytes;
        for (const std::string &part : fragments) {
            bytes += part;
        }
        return bytes;
    });
}

/// The requests in @p outcome without the error that may follow. Beast checks a header section received in one piece line by line, and one received in
/// several pieces only when it is complete, so an incomplete one may be rejected in the first case only.
std::string acceptedRequests(const std::string &outcome)
{
    return outcome.substr(0, outcome.find('!'));
}

// Guards against parsing that depends on how the bytes are split into reads.
RC_GTEST_PROP(HttpRequestParserProperty, ByteByByte_GivesTheSameRequests, ())
{
    const std::string bytes = *requestBytes();
    std::vector<std::string> pieces;
    pieces.reserve(bytes.size());
    for (const char byte : bytes) {
        pieces.emplace_back(1, byte);
    }
    RC_ASSERT(acceptedRequests(parseOutcome(pieces)) == acceptedRequests(parseOutcome({bytes})));
}

std::string parseResult(const std::string &text, bool chat)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_AUTO(body, chat ? parseChatBody(text) : parseCompletionBody(text));
            return "prompt " + body.prompt;
        },
        [](const BodyError &bodyError) { return "fault " + bodyError.message; },
        [] { return std::string("other error"); });
}

// Guards against crashes and errors without a message for arbitrary bodies.
RC_GTEST_PROP(CompletionBodyProperty, ArbitraryFragments_GiveAPromptOrAFault, (bool chat))
{
    const auto fragment = rc::gen::element<std::string>("{",
                                                        "}",
                                                        "[",
                                                        "]",
                                                        ",",
                                                        ":",
                                                        "\"model\"",
                                                        "\"prompt\"",
                                                        "\"messages\"",
                                                        "\"role\"",
                                                        "\"content\"",
                                                        "\"user\"",
                                                        "\"max_tokens\"",
                                                        "\"stream\"",
                                                        "1",
                                                        "-1",
                                                        "1e9",
                                                        "true",
                                                        "null",
                                                        "\"\\ud800\"",
                                                        "\"\xff\"",
                                                        " ");
    std::string text;
    for (const std::string &part : *rc::gen::container<std::vector<std::string>>(fragment)) {
        text += part;
    }
    const std::string result = parseResult(text, chat);
    RC_ASSERT(result.starts_with("prompt ") || (result.starts_with("fault ") && result.size() > 6));
}

RC_GTEST_PROP(CompletionBodyProperty, AnyPrompt_IsReadAsItWasWritten, ())
{
    const auto prompt = *rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127)));
    const std::string text = boost::json::serialize(boost::json::object{{"model", "m"}, {"prompt", prompt}});
    RC_ASSERT(parseResult(text, false) == "prompt " + prompt);
}

TEST(CompletionBodyTest, DeepNesting_IsRefused)
{
    EXPECT_EQ(parseResult("{\"model\":" + std::string(1'000'000, '['), false), "fault must be a string");
}

}
}
