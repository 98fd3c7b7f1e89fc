#pragma once

#include "gateway/httpreader.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>

namespace Lentillock
{

/// Minimal HTTP server for requests that concern the operation of a gateway: the readiness check, metrics, the state dump, and the copies of
/// store topics that other VMs read.
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
