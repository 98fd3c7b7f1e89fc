#include "entry/answerwriter.h"

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <boost/json/value.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace Lentillock
{

namespace
{

constexpr std::string_view JsonType = "application/json";
constexpr std::string_view LastChunk = "0\r\n\r\n";

std::string quoted(std::string_view text)
{
    return boost::json::serialize(boost::json::string_view(text.data(), text.size()));
}

void appendChunk(std::string_view bytes, std::string &out)
{
    if (bytes.empty()) {
        return; // An empty chunk would end the answer.
    }
    std::array<char, 16> size{};
    const auto [end, error] = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
    out.append(size.data(), end);
    out += "\r\n";
    out += bytes;
    out += "\r\n";
}

std::string statusLine(int status)
{
    return "HTTP/1.1 " + std::to_string(status) + ' ' + std::string(statusText(status)) + "\r\n";
}

/// Keeps line ends of an endpoint's header out of the answer's head.
std::string headerValue(const std::string &value)
{
    return value.substr(0, value.find_first_of("\r\n"));
}

std::string usage(const FinishRequest &end)
{
    return "{\"prompt_tokens\":" + std::to_string(end.promptTokens) + ",\"cached_tokens\":" + std::to_string(end.cachedTokens) + ",\"completion_tokens\":"
        + std::to_string(end.completionTokens) + ",\"total_tokens\":" + std::to_string(end.promptTokens + end.completionTokens) + '}';
}

ErrorReply errorOf(const FinishRequest &end)
{
    return {.status = end.status, .code = end.code, .message = end.message, .runState = end.runState, .retryAfter = end.retryAfter};
}

}

AnswerWriter::AnswerWriter(AnswerStyle style, std::string requestId, bool keepAlive)
    : style_(std::move(style))
    , requestId_(std::move(requestId))
    , keepAlive_(keepAlive)
{
}

void AnswerWriter::write(const SendToCaller &part, std::string &out)
{
    if (style_.kind == RequestKind::Service) {
        if (!begun_) {
            writeHead(part.status, part.contentType, out);
        }
        appendChunk(part.text, out);
    } else if (style_.stream) {
        if (!begun_) {
            writeHead(200, "text/event-stream", out);
        }
        writeEvent(part.text, nullptr, out);
    } else {
        held_ += part.text;
    }
}

bool AnswerWriter::finish(const FinishRequest &end, std::string &out)
{
    if (!end.succeeded) {
        if (!begun_) {
            out += errorReply(errorOf(end), requestId_, keepAlive_);
            return true;
        }
        if (style_.kind == RequestKind::Service) {
            return false;
        }
        appendChunk("event: error\ndata: " + errorBody(errorOf(end), requestId_) + "\n\n", out);
        out += LastChunk;
        return true;
    }
    if (style_.kind == RequestKind::Service) {
        finishService(end, out);
    } else {
        finishCompletion(end, out);
    }
    return true;
}

bool AnswerWriter::hasBegun() const
{
    return begun_;
}

std::size_t AnswerWriter::heldBytes() const
{
    return held_.size();
}

std::string AnswerWriter::errorReply(const ErrorReply &error, const std::string &requestId, bool keepAlive)
{
    const std::string body = errorBody(error, requestId) + '\n';
    std::string out = statusLine(error.status) + "Content-Type: " + std::string(JsonType) + "\r\n";
    out += "Lentillock-Request-Id: " + requestId + "\r\n";
    if (error.status == 401) {
        out += "WWW-Authenticate: Bearer\r\n";
    }
    if (error.retryAfter) {
        constexpr std::int64_t millisecondsPerSecond = 1000;
        out += "Retry-After: " + std::to_string((error.retryAfter->count() + millisecondsPerSecond - 1) / millisecondsPerSecond) + "\r\n";
    }
    if (!keepAlive) {
        out += "Connection: close\r\n";
    }
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return out + body;
}

std::string AnswerWriter::plainReply(int status, std::string_view contentType, std::string_view body, bool keepAlive)
{
    std::string out = statusLine(status) + "Content-Type: " + std::string(contentType) + "\r\n";
    if (!keepAlive) {
        out += "Connection: close\r\n";
    }
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    out += body;
    return out;
}

void AnswerWriter::writeHead(int status, const std::string &contentType, std::string &out)
{
    begun_ = true;
    out += statusLine(status);
    if (!contentType.empty()) {
        out += "Content-Type: " + headerValue(contentType) + "\r\n";
    }
    if (style_.stream) {
        out += "Cache-Control: no-store\r\n";
    }
    out += "Lentillock-Request-Id: " + requestId_ + "\r\n";
    if (!keepAlive_) {
        out += "Connection: close\r\n";
    }
    out += "Transfer-Encoding: chunked\r\n\r\n";
}

void AnswerWriter::writeEvent(std::string_view text, const FinishRequest *end, std::string &out) const
{
    std::string event = "data: {\"id\":" + quoted(requestId_) + ",\"object\":";
    event += style_.chat ? "\"chat.completion.chunk\"" : "\"text_completion\"";
    event += ",\"model\":" + quoted(style_.model) + ",\"choices\":[{\"index\":0,";
    if (style_.chat) {
        event += "\"delta\":{" + (end == nullptr ? "\"content\":" + quoted(text) : std::string()) + '}';
    } else {
        event += "\"text\":" + quoted(text);
    }
    event += ",\"finish_reason\":" + (end == nullptr ? std::string("null") : quoted(end->finishReason)) + "}]";
    if (end != nullptr) {
        event += ",\"usage\":" + usage(*end);
    }
    event += "}\n\n";
    appendChunk(event, out);
}

void AnswerWriter::finishCompletion(const FinishRequest &end, std::string &out)
{
    if (style_.stream) {
        if (!begun_) {
            writeHead(200, "text/event-stream", out);
        }
        writeEvent({}, &end, out);
        appendChunk("data: [DONE]\n\n", out);
        out += LastChunk;
        return;
    }
    std::string body = "{\"id\":" + quoted(requestId_) + ",\"object\":";
    body += style_.chat ? "\"chat.completion\"" : "\"text_completion\"";
    body += ",\"model\":" + quoted(style_.model) + ",\"choices\":[{\"index\":0,";
    body += style_.chat ? "\"message\":{\"role\":\"assistant\",\"content\":" + quoted(held_) + '}' : "\"text\":" + quoted(held_);
    body += ",\"finish_reason\":" + quoted(end.finishReason) + "}],\"usage\":" + usage(end) + "}\n";
    std::string().swap(held_);
    out += statusLine(200) + "Content-Type: " + std::string(JsonType) + "\r\nLentillock-Request-Id: " + requestId_ + "\r\n";
    if (!keepAlive_) {
        out += "Connection: close\r\n";
    }
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    out += body;
}

void AnswerWriter::finishService(const FinishRequest &end, std::string &out)
{
    if (begun_) {
        out += LastChunk;
        return;
    }
    begun_ = true;
    out += statusLine(end.status);
    if (!end.contentType.empty()) {
        out += "Content-Type: " + headerValue(end.contentType) + "\r\n";
    }
    out += "Lentillock-Request-Id: " + requestId_ + "\r\n";
    if (!keepAlive_) {
        out += "Connection: close\r\n";
    }
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    if (end.status != noContent && end.status != notModified) {
        out += "Content-Length: 0\r\n";
    }
    out += "\r\n";
}

}
