#pragma once

#include "gateway/httpreader.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>

namespace Lentillock
{

/// Minimal HTTP server for the operational endpoints of a gateway, such as the readiness check, metrics and the state dump.
class OperatorServer
{
public:
    struct Response {
        unsigned status = 200;
        std::string contentType = "text/plain";
        std::string body{};
    };
    using Handler = std::function<Response(std::string_view path)>;

    /// Listens on @p address; throws boost::system::system_error if that fails.
    OperatorServer(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &address, Handler handler);

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    Handler handler_;
};

}
