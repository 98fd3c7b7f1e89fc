#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Lentillock
{

/// HTTP server for operators; its address must not be reachable by callers.
class OperatorsServer
{
public:
    struct Reply {
        int status = 200;
        std::string contentType;
        std::string body;
    };

    /// Handles a GET request; @p request is the value of the query parameter "request", or empty. Called from the server's thread.
    using Handler = std::function<Reply(const std::string &path, const std::string &request)>;

    /// Listens on @p address, IP:PORT. Throws std::exception on failure.
    OperatorsServer(const std::string &address, Handler handler);
    ~OperatorsServer();
    OperatorsServer(const OperatorsServer &) = delete;
    OperatorsServer &operator=(const OperatorsServer &) = delete;

    [[nodiscard]] std::uint16_t port() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

}
