#pragma once

#include "entry/errorreply.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Lentillock
{

/// Request line and header fields of an HTTP request.
struct HttpRequestHead {
    std::string method;
    std::string target; ///< With query.
    std::vector<std::pair<std::string, std::string>> fields; ///< Names in lower case, in the order of the request.
    std::optional<std::size_t> contentLength; ///< Nothing for a body in chunks.
    bool http10 = false;
    bool keepAlive = true;
    bool expectsContinue = false;

    bool operator==(const HttpRequestHead &) const = default;

    /// Path without the query.
    [[nodiscard]] std::string_view path() const;

    /// Value of the first field of this name (lower case), or null.
    [[nodiscard]] const std::string *field(std::string_view name) const;

    [[nodiscard]] std::size_t fieldCount(std::string_view name) const;
};

struct HttpLimits {
    std::size_t maxHeadBytes = 16UL * 1024;
    std::size_t maxBodyBytes = 12UL * 1024 * 1024;
};

/// Reads one request after the other from the bytes of a connection.
///
/// Boost.Beast does the parsing because Pistache's parser accepts two different Content-Length fields, drops pipelined requests and leaves malformed ones
/// without an answer.
class HttpRequestParser
{
public:
    enum class Step {
        NeedsInput,
        Head, ///< The head is complete; the body follows with further calls.
        Done, ///< The request is complete.
        Failed, ///< The connection cannot be used any longer.
    };

    explicit HttpRequestParser(HttpLimits limits);
    ~HttpRequestParser();
    HttpRequestParser(const HttpRequestParser &) = delete;
    HttpRequestParser &operator=(const HttpRequestParser &) = delete;

    /// Adds received bytes. They are parsed by next().
    void append(std::string_view bytes);

    /// Goes on to the next event of the current request.
    Step next();

    [[nodiscard]] const HttpRequestHead &head() const;
    [[nodiscard]] const ErrorReply &error() const;

    /// Bytes of the body read so far.
    [[nodiscard]] std::size_t bodyBytes() const;

    /// Moves the body out, after Done.
    std::string takeBody();

    /// Starts with the next request of the connection, after Done.
    void startNext();

    /// Received bytes that have not been parsed.
    [[nodiscard]] std::size_t pendingBytes() const;

    /// Whether a part of a request has been received.
    [[nodiscard]] bool hasBegun() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

}
