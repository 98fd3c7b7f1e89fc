#pragma once

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Lentillock
{

namespace leaf = boost::leaf;

struct Datagram {
    std::string source; ///< IP:PORT of the sender.
    std::string data;
};

/// A bound, non-blocking UDP socket.
class UdpSocket
{
public:
    /// Binds to IP:PORT; port 0 lets the kernel choose. The error is a std::string.
    static leaf::result<UdpSocket> bind(const std::string &address);

    UdpSocket(UdpSocket &&other) noexcept;
    UdpSocket &operator=(UdpSocket &&other) noexcept;
    UdpSocket(const UdpSocket &) = delete;
    UdpSocket &operator=(const UdpSocket &) = delete;
    ~UdpSocket();

    /// Sends without waiting. A datagram that cannot be sent is dropped, like one that the network loses.
    void send(const std::string &address, std::string_view data) const;

    /// Next queued datagram, if there is one.
    [[nodiscard]] std::optional<Datagram> receive() const;

    [[nodiscard]] const std::string &address() const;
    [[nodiscard]] int descriptor() const;

private:
    UdpSocket(int descriptor, std::string address);

    int descriptor_ = -1;
    std::string address_;
};

}
