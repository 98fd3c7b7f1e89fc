#pragma once

#include "entrysupport/rawsocket.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Lentillock
{

/// A fake endpoint whose handler sends exact bytes. Each connection has its own thread.
class ScriptedEndpoint
{
public:
    struct Request {
        std::string head; ///< Including the empty line at its end.
        std::string body;
    };

    /// Responds to a request; returns false to close the connection.
    using Handler = std::function<bool(RawSocket &connection, const Request &request)>;

    explicit ScriptedEndpoint(Handler handler);
    ~ScriptedEndpoint();
    ScriptedEndpoint(const ScriptedEndpoint &) = delete;
    ScriptedEndpoint &operator=(const ScriptedEndpoint &) = delete;

    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] std::string address() const;

    /// Request lines received so far, in order.
    [[nodiscard]] std::vector<std::string> requestLines() const;

    /// Header section of a streamed response that is terminated by closing the connection.
    static std::string streamHead();

    /// A server-sent event with one chunk of text.
    static std::string event(std::uint64_t position, std::uint64_t tokens, const std::string &text);

    static std::string endEvent(std::uint64_t position);

    /// A complete JSON response.
    static std::string json(int status, const std::string &body);

private:
    void serve(const std::shared_ptr<RawSocket> &connection);

    Handler handler_;
    RawListener listener_;
    mutable std::mutex mutex_;
    std::vector<std::string> requestLines_;
    std::vector<std::shared_ptr<RawSocket>> connections_;
    std::vector<std::thread> threads_;
    std::thread acceptThread_;
};

}
