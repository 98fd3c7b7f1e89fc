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

    /// Sends a datagram without blocking. If that fails, the datagram is dropped; the caller must expect lost datagrams in any case.
    void send(const std::string &address, std::string_view data) const;

    /// Returns the next received datagram, or nothing if none is queued.
    [[nodiscard]] std::optional<Datagram> receive() const;

    [[nodiscard]] const std::string &address() const;
    [[nodiscard]] int descriptor() const;

private:
    UdpSocket(int descriptor, std::string address);

    int descriptor_ = -1;
    std::string address_;
};

}
