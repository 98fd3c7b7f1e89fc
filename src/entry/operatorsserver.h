#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Lentillock
{

/// HTTP server for operators, on an address that callers cannot reach.
class OperatorsServer
{
public:
    struct Reply {
        int status = 200;
        std::string contentType;
        std::string body;
    };

    /// Answers a GET request; @p request is the value of the query's member "request", or empty. Called from the server's thread.
    using Handler = std::function<Reply(const std::string &path, const std::string &request)>;

    /// Listens on @p address, IP:PORT. Throws std::exception when that fails.
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
