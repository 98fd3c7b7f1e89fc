#include "entrysupport/scriptedendpoint.h"

#include <sys/socket.h>

#include <cstdlib>

namespace Lentillock
{

namespace
{

constexpr milliseconds RequestTimeout{60000};

std::size_t contentLength(const std::string &head)
{
    const std::size_t found = head.find("Content-Length: ");
    return found == std::string::npos ? 0 : std::strtoull(head.c_str() + found + std::string_view("Content-Length: ").size(), nullptr, 10);
}

}

ScriptedEndpoint::ScriptedEndpoint(Handler handler)
    : handler_(std::move(handler))
    , acceptThread_([this] {
        for (;;) {
            auto connection = std::make_shared<RawSocket>(listener_.accept());
            if (connection->descriptor() < 0) {
                return;
            }
            const std::lock_guard lock(mutex_);
            connections_.push_back(connection);
            threads_.emplace_back([this, connection] { serve(connection); });
        }
    })
{
}

ScriptedEndpoint::~ScriptedEndpoint()
{
    listener_.close();
    acceptThread_.join();
    for (const auto &connection : connections_) {
        ::shutdown(connection->descriptor(), SHUT_RDWR);
    }
    for (std::thread &thread : threads_) {
        thread.join();
    }
}

std::uint16_t ScriptedEndpoint::port() const
{
    return listener_.port();
}

std::string ScriptedEndpoint::address() const
{
    return "127.0.0.1:" + std::to_string(port());
}

std::vector<std::string> ScriptedEndpoint::requestLines() const
{
    const std::lock_guard lock(mutex_);
    return requestLines_;
}

std::string ScriptedEndpoint::streamHead()
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
}

std::string ScriptedEndpoint::event(std::uint64_t position, std::uint64_t tokens, const std::string &text)
{
    return "id: " + std::to_string(position) + "\ndata: {\"text\":\"" + text + "\",\"tokens\":" + std::to_string(tokens) + "}\n\n";
}

std::string ScriptedEndpoint::endEvent(std::uint64_t position)
{
    return "data: {\"finish\":\"stop\",\"position\":" + std::to_string(position) + ",\"usage\":{\"prompt_tokens\":5,\"cached_tokens\":0}}\n\n";
}

std::string ScriptedEndpoint::json(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

void ScriptedEndpoint::serve(const std::shared_ptr<RawSocket> &connection)
{
    for (;;) {
        Request request;
        request.head = connection->readUntil("\r\n\r\n", RequestTimeout);
        if (!request.head.ends_with("\r\n\r\n")) {
            break;
        }
        request.body = connection->readCount(contentLength(request.head), RequestTimeout);
        {
            const std::lock_guard lock(mutex_);
            requestLines_.push_back(request.head.substr(0, request.head.find("\r\n")));
        }
        if (!handler_(*connection, request)) {
            break;
        }
    }
    ::shutdown(connection->descriptor(), SHUT_RDWR);
}

}
