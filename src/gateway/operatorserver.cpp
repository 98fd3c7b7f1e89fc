#include "gateway/operatorserver.h"

#include "gateway/httpclientconnection.h"

#include <boost/asio/write.hpp>

#include <array>
#include <memory>

namespace Lentillock
{

namespace
{

using boost::asio::ip::tcp;

constexpr HttpReadLimits RequestLimits{.headBytes = 8192, .bodyBytes = 8192};

/// One connection of a client of the server.
class OperatorConnection : public std::enable_shared_from_this<OperatorConnection>
{
public:
    OperatorConnection(tcp::socket socket, const OperatorServer::Handler &handler)
        : socket_(std::move(socket))
        , handler_(handler)
        , reader_(RequestLimits)
    {
        setKeepAliveOptions(socket_);
    }

    void read()
    {
        socket_.async_read_some(boost::asio::buffer(buffer_), [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
            if (error) {
                return;
            }
            switch (self->reader_.feed({self->buffer_.data(), size})) {
            case HttpReadState::Finished:
                self->sendResponse();
                break;
            case HttpReadState::Malformed:
                break;
            default:
                self->read();
                break;
            }
        });
    }

private:
    void sendResponse()
    {
        const OperatorServer::Response response = handler_(pathOf(reader_.head().target));
        const bool keepAlive = reader_.head().keepAlive;
        auto text = std::make_shared<std::string>("HTTP/1.1 " + std::to_string(response.status) + (response.status == 200 ? " OK\r\n" : " Unavailable\r\n"));
        appendField(*text, "Content-Type", response.contentType);
        appendField(*text, "Content-Length", std::to_string(response.body.size()));
        if (!keepAlive) {
            appendField(*text, "Connection", "close");
        }
        *text += "\r\n" + response.body;
        boost::asio::async_write(socket_, boost::asio::buffer(*text), [self = shared_from_this(), text, keepAlive](const auto &error, std::size_t) {
            if (!error && keepAlive) {
                self->reader_.next();
                self->read();
            }
        });
    }

    tcp::socket socket_;
    const OperatorServer::Handler &handler_;
    HttpRequestReader reader_;
    std::array<char, 2048> buffer_{};
};

}

OperatorServer::OperatorServer(boost::asio::io_context &context, const tcp::endpoint &address, Handler handler)
    : acceptor_(context, address)
    , handler_(std::move(handler))
{
    accept();
}

void OperatorServer::accept()
{
    acceptor_.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            std::make_shared<OperatorConnection>(std::move(socket), handler_)->read();
        }
        accept();
    });
}

}
