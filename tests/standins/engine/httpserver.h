#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Lentillock
{

struct HttpRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Keyed by lower-case name. Excludes the headers that Pistache interprets itself.
    std::string body;
};

/// Sends the response to one request. Thread-safe; its functions do nothing once the client has closed the connection.
class HttpResponder
{
public:
    HttpResponder() = default;
    HttpResponder(const HttpResponder &) = delete;
    HttpResponder &operator=(const HttpResponder &) = delete;
    virtual ~HttpResponder() = default;

    virtual void send(int status, std::string_view body, std::string_view contentType = "application/json") = 0;

    /// Begins a chunked response of server-sent events.
    virtual void beginStream() = 0;
    virtual void sendChunk(std::string_view data) = 0;
    virtual void endStream() = 0;

    [[nodiscard]] virtual bool isOpen() const = 0;
};

using HttpResponderPtr = std::shared_ptr<HttpResponder>;

/// HTTP server of a stand-in. The handler is called concurrently from several threads and must not block.
class HttpServer
{
public:
    using Handler = std::function<void(HttpRequest, HttpResponderPtr)>;

    /// Listens on @p host and @p port; port 0 lets the kernel choose a free port. Throws std::runtime_error if it cannot listen.
    HttpServer(const std::string &host, std::uint16_t port, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    [[nodiscard]] std::uint16_t port() const;

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

}
