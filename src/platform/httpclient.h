#pragma once

#include "base/time.h"

#include <boost/leaf/result.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Lentillock
{

namespace leaf = boost::leaf;

enum class HttpError {
    NotSent, ///< No byte of the request was sent.
    NoResponse, ///< No complete response was received; the request may have been executed.
};

struct HttpResponse {
    int status = 0;
    std::string body;
    std::optional<milliseconds> retryAfter;
};

/// Blocking HTTP requests to one service. Every request has a timeout. Errors are HttpError values.
///
/// GET requests reuse a connection until a request fails. Each POST uses a new connection, because libcurl resends a request on its own if
/// a reused connection was closed without a response. Not thread-safe.
class HttpClient
{
public:
    /// @p baseUrl is the URL without the path, for example "http://10.0.0.1:7000".
    explicit HttpClient(std::string baseUrl);
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    ~HttpClient();

    leaf::result<HttpResponse> get(const std::string &path, milliseconds timeout);
    leaf::result<HttpResponse> post(const std::string &path, const std::string &body, milliseconds timeout);

    /// Percent-encodes all characters of a path segment but the unreserved ones of RFC 3986.
    static std::string percentEncode(std::string_view segment);

private:
    struct Handle;

    leaf::result<HttpResponse> perform(const std::string &path, const std::string *body, milliseconds timeout);

    std::string baseUrl_;
    std::unique_ptr<Handle> handle_;
    bool freshConnection_ = false;
};

}
