#pragma once

#include "dispatch/messages.h"
#include "entry/errorreply.h"
#include "entry/filterchain.h"

#include <string>
#include <string_view>

namespace Lentillock
{

/// Serializes the response to one request as HTTP/1.1.
class ResponseWriter
{
public:
    ResponseWriter(ResponseFormat format, std::string requestId, bool keepAlive);

    /// Appends a part of the response to @p out. A completion that is not streamed is buffered until finish().
    void write(const SendToCaller &part, std::string &out);

    /// Appends the end of the response. Returns false if the failure can only be signalled by closing the connection.
    [[nodiscard]] bool finish(const FinishRequest &end, std::string &out);

    /// Whether the header section has been written.
    [[nodiscard]] bool hasBegun() const;

    /// Bytes of the response that are buffered until finish().
    [[nodiscard]] std::size_t bufferedBytes() const;

    /// A complete error response.
    static std::string errorReply(const ErrorReply &error, const std::string &requestId, bool keepAlive);

    /// A complete response with the given body.
    static std::string plainReply(int status, std::string_view contentType, std::string_view body, bool keepAlive);

private:
    void writeHead(int status, const std::string &contentType, std::string &out);
    void writeEvent(std::string_view text, const FinishRequest *end, std::string &out) const;
    void finishCompletion(const FinishRequest &end, std::string &out);
    void finishService(const FinishRequest &end, std::string &out);

    ResponseFormat format_;
    std::string requestId_;
    bool keepAlive_;
    bool headWritten_ = false;
    std::string buffer_;
};

}
