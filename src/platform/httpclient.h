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
    NoAnswer, ///< The request may have been executed.
};

struct HttpResponse {
    int status = 0;
    std::string body;
    std::optional<milliseconds> retryAfter;
};

/// Blocking HTTP requests to one service. Every request has a timeout. Errors are HttpError values.
///
/// GET requests reuse the connection until one fails. Each POST uses a connection of its own, because libcurl silently repeats a
/// request on a reused connection that was closed without an answer. Not thread-safe.
class HttpClient
{
public:
    /// @p baseUrl is the part before the path, for example "http://10.0.0.1:7000".
    explicit HttpClient(std::string baseUrl);
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    ~HttpClient();

    leaf::result<HttpResponse> get(const std::string &path, milliseconds timeout);
    leaf::result<HttpResponse> post(const std::string &path, const std::string &body, milliseconds timeout);

    /// @p segment with all characters escaped that have a meaning in URLs.
    static std::string escaped(std::string_view segment);

private:
    struct Handle;

    leaf::result<HttpResponse> perform(const std::string &path, const std::string *body, milliseconds timeout);

    std::string baseUrl_;
    std::unique_ptr<Handle> handle_;
    bool freshConnection_ = false;
};

}
