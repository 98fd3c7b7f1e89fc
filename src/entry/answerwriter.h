#pragma once

#include "dispatch/messages.h"
#include "entry/errorreply.h"
#include "entry/filterchain.h"

#include <string>
#include <string_view>

namespace Lentillock
{

/// Writes the answer of one request as bytes of HTTP/1.1.
class AnswerWriter
{
public:
    AnswerWriter(AnswerStyle style, std::string requestId, bool keepAlive);

    /// Appends a part of the answer to @p out. A completion that is not streamed is kept until finish().
    void write(const SendToCaller &part, std::string &out);

    /// Appends the end of the answer. Returns false when the failure can only be shown by closing the connection.
    [[nodiscard]] bool finish(const FinishRequest &end, std::string &out);

    /// Whether a part of the answer has been written.
    [[nodiscard]] bool hasBegun() const;

    /// Bytes of the answer that are kept.
    [[nodiscard]] std::size_t heldBytes() const;

    /// A whole error answer.
    static std::string errorReply(const ErrorReply &error, const std::string &requestId, bool keepAlive);

    /// A whole answer of another kind.
    static std::string plainReply(int status, std::string_view contentType, std::string_view body, bool keepAlive);

private:
    void writeHead(int status, const std::string &contentType, std::string &out);
    void writeEvent(std::string_view text, const FinishRequest *end, std::string &out) const;
    void finishCompletion(const FinishRequest &end, std::string &out);
    void finishService(const FinishRequest &end, std::string &out);

    AnswerStyle style_;
    std::string requestId_;
    bool keepAlive_;
    bool begun_ = false;
    std::string held_;
};

}
