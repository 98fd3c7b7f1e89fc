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
    std::string target; ///< Path and query.
    std::vector<std::pair<std::string, std::string>> fields; ///< Names in lower case, in the order of the request.
    std::optional<std::size_t> contentLength; ///< Not set for a chunked body.
    bool http10 = false;
    bool keepAlive = true;
    bool expectsContinue = false;

    bool operator==(const HttpRequestHead &) const = default;

    /// The target without the query.
    [[nodiscard]] std::string_view path() const;

    /// Value of the first field with this lower-case name; null if there is none.
    [[nodiscard]] const std::string *field(std::string_view name) const;

    [[nodiscard]] std::size_t fieldCount(std::string_view name) const;
};

struct HttpLimits {
    std::size_t maxHeadBytes = 16UL * 1024;
    std::size_t maxBodyBytes = 12UL * 1024 * 1024;
};

/// Incremental parser for the sequence of requests on a connection.
///
/// Uses Boost.Beast because Pistache's parser accepts two different Content-Length fields, drops pipelined requests and does not respond to malformed
/// ones.
class HttpRequestParser
{
public:
    enum class Step {
        NeedsInput,
        Head, ///< The header section is complete; further calls parse the body.
        Done, ///< The request is complete.
        Failed, ///< The request is invalid; the connection cannot be used any longer.
    };

    explicit HttpRequestParser(HttpLimits limits);
    ~HttpRequestParser();
    HttpRequestParser(const HttpRequestParser &) = delete;
    HttpRequestParser &operator=(const HttpRequestParser &) = delete;

    /// Appends received bytes, which next() parses.
    void append(std::string_view bytes);

    /// Parses up to the next step of the current request.
    Step next();

    [[nodiscard]] const HttpRequestHead &head() const;
    [[nodiscard]] const ErrorReply &error() const;

    /// Size of the body parsed so far.
    [[nodiscard]] std::size_t bodyBytes() const;

    /// Moves the body out. Call after Step::Done.
    std::string takeBody();

    /// Starts parsing the next request. Call after Step::Done.
    void startNext();

    /// Number of received bytes that have not been parsed.
    [[nodiscard]] std::size_t pendingBytes() const;

    /// Whether a part of a request has been received.
    [[nodiscard]] bool hasBegun() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

}
