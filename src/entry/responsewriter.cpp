#include "entry/responsewriter.h"

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

std::string jsonString(std::string_view text)
{
    return boost::json::serialize(boost::json::string_view(text.data(), text.size()));
}

void appendChunk(std::string_view bytes, std::string &out)
{
    if (bytes.empty()) {
        return; // An empty chunk would end the response.
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

/// Truncates a header value from an endpoint at the first line break, to prevent header injection.
std::string headerValue(const std::string &value)
{
    return value.substr(0, value.find_first_of("\r\n"));
}

std::string usageJson(const FinishRequest &end)
{
    return "{\"prompt_tokens\":" + std::to_string(end.promptTokens) + ",\"cached_tokens\":" + std::to_string(end.cachedTokens) + ",\"completion_tokens\":"
        + std::to_string(end.completionTokens) + ",\"total_tokens\":" + std::to_string(end.promptTokens + end.completionTokens) + '}';
}

ErrorReply toErrorReply(const FinishRequest &end)
{
    return {.status = end.status, .code = end.code, .message = end.message, .runState = end.runState, .retryAfter = end.retryAfter};
}

}

ResponseWriter::ResponseWriter(ResponseFormat format, std::string requestId, bool keepAlive)
    : format_(std::move(format))
    , requestId_(std::move(requestId))
    , keepAlive_(keepAlive)
{
}

void ResponseWriter::write(const SendToCaller &part, std::string &out)
{
    if (format_.kind == RequestKind::Service) {
        if (!headWritten_) {
            writeHead(part.status, part.contentType, out);
        }
        appendChunk(part.text, out);
    } else if (format_.stream) {
        if (!headWritten_) {
            writeHead(200, "text/event-stream", out);
        }
        writeEvent(part.text, nullptr, out);
    } else {
        buffer_ += part.text;
    }
}

bool ResponseWriter::finish(const FinishRequest &end, std::string &out)
{
    if (!end.succeeded) {
        if (!headWritten_) {
            out += errorReply(toErrorReply(end), requestId_, keepAlive_);
            return true;
        }
        if (format_.kind == RequestKind::Service) {
            return false;
        }
        appendChunk("event: error\ndata: " + errorBody(toErrorReply(end), requestId_) + "\n\n", out);
        out += LastChunk;
        return true;
    }
    if (format_.kind == RequestKind::Service) {
        finishService(end, out);
    } else {
        finishCompletion(end, out);
    }
    return true;
}

bool ResponseWriter::hasBegun() const
{
    return headWritten_;
}

std::size_t ResponseWriter::bufferedBytes() const
{
    return buffer_.size();
}

std::string ResponseWriter::errorReply(const ErrorReply &error, const std::string &requestId, bool keepAlive)
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

std::string ResponseWriter::plainReply(int status, std::string_view contentType, std::string_view body, bool keepAlive)
{
    std::string out = statusLine(status) + "Content-Type: " + std::string(contentType) + "\r\n";
    if (!keepAlive) {
        out += "Connection: close\r\n";
    }
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    out += body;
    return out;
}

void ResponseWriter::writeHead(int status, const std::string &contentType, std::string &out)
{
    headWritten_ = true;
    out += statusLine(status);
    if (!contentType.empty()) {
        out += "Content-Type: " + headerValue(contentType) + "\r\n";
    }
    if (format_.stream) {
        out += "Cache-Control: no-store\r\n";
    }
    out += "Lentillock-Request-Id: " + requestId_ + "\r\n";
    if (!keepAlive_) {
        out += "Connection: close\r\n";
    }
    out += "Transfer-Encoding: chunked\r\n\r\n";
}

void ResponseWriter::writeEvent(std::string_view text, const FinishRequest *end, std::string &out) const
{
    std::string event = "data: {\"id\":" + jsonString(requestId_) + ",\"object\":";
    event += format_.chat ? "\"chat.completion.chunk\"" : "\"text_completion\"";
    event += ",\"model\":" + jsonString(format_.model) + ",\"choices\":[{\"index\":0,";
    if (format_.chat) {
        event += "\"delta\":{" + (end == nullptr ? "\"content\":" + jsonString(text) : std::string()) + '}';
    } else {
        event += "\"text\":" + jsonString(text);
    }
    event += ",\"finish_reason\":" + (end == nullptr ? std::string("null") : jsonString(end->finishReason)) + "}]";
    if (end != nullptr) {
        event += ",\"usage\":" + usageJson(*end);
    }
    event += "}\n\n";
    appendChunk(event, out);
}

void ResponseWriter::finishCompletion(const FinishRequest &end, std::string &out)
{
    if (format_.stream) {
        if (!headWritten_) {
            writeHead(200, "text/event-stream", out);
        }
        writeEvent({}, &end, out);
        appendChunk("data: [DONE]\n\n", out);
        out += LastChunk;
        return;
    }
    std::string body = "{\"id\":" + jsonString(requestId_) + ",\"object\":";
    body += format_.chat ? "\"chat.completion\"" : "\"text_completion\"";
    body += ",\"model\":" + jsonString(format_.model) + ",\"choices\":[{\"index\":0,";
    body += format_.chat ? "\"message\":{\"role\":\"assistant\",\"content\":" + jsonString(buffer_) + '}' : "\"text\":" + jsonString(buffer_);
    body += ",\"finish_reason\":" + jsonString(end.finishReason) + "}],\"usage\":" + usageJson(end) + "}\n";
    std::string().swap(buffer_);
    out += statusLine(200) + "Content-Type: " + std::string(JsonType) + "\r\nLentillock-Request-Id: " + requestId_ + "\r\n";
    if (!keepAlive_) {
        out += "Connection: close\r\n";
    }
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    out += body;
}

void ResponseWriter::finishService(const FinishRequest &end, std::string &out)
{
    if (headWritten_) {
        out += LastChunk;
        return;
    }
    headWritten_ = true;
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
