#pragma once

#include <boost/leaf/result.hpp>

#include <functional>
#include <memory>
#include <string>

namespace Lentillock
{

namespace leaf = boost::leaf;

/// Functions that produce the responses of the operators' server. They are called from the server's thread.
struct OperatorsCallbacks {
    std::function<std::string()> metrics;
    std::function<std::string()> state;
    std::function<bool()> ready;
};

/// HTTP server for operators: /healthz, /readyz, /metrics and /debug/state.
class OperatorsServer
{
public:
    /// Listens on @p address, IP:PORT. The error is a std::string.
    static leaf::result<std::unique_ptr<OperatorsServer>> listen(const std::string &address, OperatorsCallbacks callbacks);

    OperatorsServer(const OperatorsServer &) = delete;
    OperatorsServer &operator=(const OperatorsServer &) = delete;
    ~OperatorsServer();

    [[nodiscard]] const std::string &address() const;

private:
    struct Server;

    OperatorsServer(std::string address, std::unique_ptr<Server> server);

    std::string address_;
    std::unique_ptr<Server> server_;
};

}
