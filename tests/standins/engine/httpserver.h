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
    std::map<std::string, std::string> headers; ///< Names in lower case. Without the headers that the library interprets itself.
    std::string body;
};

/// Answers one request. Safe to use from any thread; nothing happens once the client has closed the connection.
class HttpAnswer
{
public:
    HttpAnswer() = default;
    HttpAnswer(const HttpAnswer &) = delete;
    HttpAnswer &operator=(const HttpAnswer &) = delete;
    virtual ~HttpAnswer() = default;

    virtual void send(int status, std::string_view body, std::string_view contentType = "application/json") = 0;

    /// Begins a chunked answer of server-sent events.
    virtual void beginStream() = 0;
    virtual void sendChunk(std::string_view data) = 0;
    virtual void endStream() = 0;

    [[nodiscard]] virtual bool isOpen() const = 0;
};

using HttpAnswerPtr = std::shared_ptr<HttpAnswer>;

/// HTTP server of a stand-in. The handler is called from several threads and must not block.
class HttpServer
{
public:
    using Handler = std::function<void(HttpRequest, HttpAnswerPtr)>;

    /// Listens on @p host and @p port; port 0 lets the kernel choose. Throws std::runtime_error when that fails.
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
