#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Lentillock
{

/// A blocking TCP connection on loopback for tests that send and compare exact bytes.
class RawSocket
{
public:
    static RawSocket connect(std::uint16_t port);

    explicit RawSocket(int descriptor = -1);
    ~RawSocket();
    RawSocket(RawSocket &&other) noexcept;
    RawSocket &operator=(RawSocket &&other) noexcept;
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;

    /// Returns false if the peer has closed the connection.
    bool send(std::string_view bytes);

    /// Reads up to and including @p delimiter; returns fewer bytes if the connection ends or the timeout expires first.
    std::string readUntil(std::string_view delimiter, milliseconds timeout = milliseconds(5000));

    /// Reads until the connection ends or the timeout expires.
    std::string readAll(milliseconds timeout = milliseconds(5000));

    /// Reads @p count bytes; returns fewer if the connection ends or the timeout expires first.
    std::string readCount(std::size_t count, milliseconds timeout = milliseconds(5000));

    /// Whether the peer has closed the connection and all bytes have been received.
    [[nodiscard]] bool ended() const;

    void setReceiveBuffer(int bytes);
    void shutdownSend();
    void close();
    [[nodiscard]] int descriptor() const;

private:
    bool receive(TimePoint deadline);

    int descriptor_ = -1;
    std::string buffer_;
    bool ended_ = false;
};

/// A listening socket on 127.0.0.1 with a port chosen by the kernel.
class RawListener
{
public:
    RawListener();
    ~RawListener();
    RawListener(const RawListener &) = delete;
    RawListener &operator=(const RawListener &) = delete;

    [[nodiscard]] std::uint16_t port() const;

    /// Waits for a connection; returns a socket with descriptor -1 after close().
    RawSocket accept();

    void close();

private:
    int descriptor_ = -1;
    std::uint16_t port_ = 0;
};

}
