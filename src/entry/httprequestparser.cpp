#include "entry/httprequestparser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <array>
#include <cctype>

namespace Lentillock
{

namespace
{

namespace http = boost::beast::http;

// Fields that affect how a request is handled. A repeated one would be ambiguous.
constexpr std::array<std::string_view, 8> SingleFields{
    "authorization", "content-type", "host", "idempotency-key", "lentillock-idempotent", "lentillock-request-id", "lentillock-timeout-ms", "expect"};

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return result;
}

std::string_view toStringView(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

ErrorReply errorReplyFor(const boost::beast::error_code &error, const HttpLimits &limits)
{
    if (error == http::error::header_limit) {
        return {.status = 431, .code = "head_too_large", .message = "request line and headers exceed " + std::to_string(limits.maxHeadBytes) + " bytes"};
    }
    if (error == http::error::body_limit) {
        return {.status = 413, .code = "body_too_large", .message = "the body exceeds " + std::to_string(limits.maxBodyBytes) + " bytes"};
    }
    return {.status = 400, .code = "malformed_http", .message = "the request is not valid HTTP: " + error.message()};
}

}

std::string_view HttpRequestHead::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

const std::string *HttpRequestHead::field(std::string_view name) const
{
    const auto found = std::find_if(fields.begin(), fields.end(), [&](const auto &field) { return field.first == name; });
    return found == fields.end() ? nullptr : &found->second;
}

std::size_t HttpRequestHead::fieldCount(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(fields.begin(), fields.end(), [&](const auto &field) { return field.first == name; }));
}

struct HttpRequestParser::State {
    HttpLimits limits;
    std::string pending;
    std::size_t consumed = 0; ///< Number of leading bytes of pending that have been parsed.
    std::optional<http::request_parser<http::string_body>> parser;
    bool headReported = false;
    HttpRequestHead head;
    ErrorReply error;
    bool failed = false;

    void restart()
    {
        parser.emplace();
        parser->header_limit(static_cast<std::uint32_t>(limits.maxHeadBytes));
        parser->body_limit(limits.maxBodyBytes);
        headReported = false;
        head = {};
    }

    void fail(ErrorReply reply)
    {
        failed = true;
        error = std::move(reply);
        pending.clear();
        consumed = 0;
    }

    void readHead()
    {
        const auto &message = parser->get();
        head.method = std::string(toStringView(message.method_string()));
        head.target = std::string(toStringView(message.target()));
        for (const auto &field : message) {
            head.fields.emplace_back(lowerCase(toStringView(field.name_string())), std::string(toStringView(field.value())));
        }
        constexpr unsigned http11 = 11;
        head.http10 = message.version() < http11;
        head.keepAlive = parser->keep_alive();
        if (const auto length = parser->content_length()) {
            head.contentLength = static_cast<std::size_t>(*length);
        } else if (!parser->chunked()) {
            head.contentLength = 0;
        }
        const std::string *expect = head.field("expect");
        head.expectsContinue = expect != nullptr && lowerCase(*expect) == "100-continue";
    }

    void checkHead()
    {
        for (const std::string_view name : SingleFields) {
            if (head.fieldCount(name) > 1) {
                fail({.status = 400, .code = "malformed_http", .message = "the header " + std::string(name) + " is given more than once"});
                return;
            }
        }
        if (head.target.empty() || head.target.front() != '/') {
            fail({.status = 400, .code = "malformed_http", .message = "the request target is not a path"});
        } else if (head.field("expect") != nullptr && !head.expectsContinue) {
            fail({.status = 417, .code = "expectation_failed", .message = "only Expect: 100-continue is supported"});
        }
    }
};

HttpRequestParser::HttpRequestParser(HttpLimits limits)
    : state_(std::make_unique<State>())
{
    state_->limits = limits;
    state_->restart();
}

HttpRequestParser::~HttpRequestParser() = default;

void HttpRequestParser::append(std::string_view bytes)
{
    if (state_->failed) {
        return;
    }
    state_->pending.erase(0, std::exchange(state_->consumed, 0));
    state_->pending.append(bytes);
}

HttpRequestParser::Step HttpRequestParser::next()
{
    State &state = *state_;
    while (!state.failed) {
        if (state.parser->is_header_done() && !state.headReported) {
            state.headReported = true;
            state.readHead();
            state.checkHead();
            return state.failed ? Step::Failed : Step::Head;
        }
        if (state.parser->is_done()) {
            return Step::Done;
        }
        const std::string_view rest = std::string_view(state.pending).substr(state.consumed);
        if (rest.empty()) {
            break;
        }
        boost::beast::error_code error;
        const std::size_t used = state.parser->put(boost::asio::const_buffer(rest.data(), rest.size()), error);
        state.consumed += used;
        if (error && error != http::error::need_more) {
            state.fail(errorReplyFor(error, state.limits));
        } else if (used == 0 && error == http::error::need_more) {
            break;
        }
    }
    if (state.consumed == state.pending.size()) {
        state.pending.clear();
        state.consumed = 0;
    }
    return state.failed ? Step::Failed : Step::NeedsInput;
}

const HttpRequestHead &HttpRequestParser::head() const
{
    return state_->head;
}

const ErrorReply &HttpRequestParser::error() const
{
    return state_->error;
}

std::size_t HttpRequestParser::bodyBytes() const
{
    return state_->parser->get().body().size();
}

std::string HttpRequestParser::takeBody()
{
    return std::move(state_->parser->get().body());
}

void HttpRequestParser::startNext()
{
    state_->restart();
}

std::size_t HttpRequestParser::pendingBytes() const
{
    return state_->pending.size() - state_->consumed;
}

bool HttpRequestParser::hasBegun() const
{
    return state_->headReported || pendingBytes() > 0;
}

}
