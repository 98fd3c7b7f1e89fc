#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Lentillock
{

/// A blocking TCP connection on loopback for tests that need exact bytes.
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

    /// Returns false when the other side has closed the connection.
    bool send(std::string_view bytes);

    /// Received bytes up to and including @p delimiter; less when the connection ends or the time has passed before.
    std::string readUntil(std::string_view delimiter, milliseconds timeout = milliseconds(5000));

    /// Everything up to the end of the connection.
    std::string readAll(milliseconds timeout = milliseconds(5000));

    /// Exactly @p count bytes; less when the connection ends or the time has passed before.
    std::string readCount(std::size_t count, milliseconds timeout = milliseconds(5000));

    /// Whether the other side has ended the connection and all bytes have been read.
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

/// A listening socket on a port of 127.0.0.1 that the kernel has chosen.
class RawListener
{
public:
    RawListener();
    ~RawListener();
    RawListener(const RawListener &) = delete;
    RawListener &operator=(const RawListener &) = delete;

    [[nodiscard]] std::uint16_t port() const;

    /// Waits for a connection; returns one with descriptor -1 after close().
    RawSocket accept();

    void close();

private:
    int descriptor_ = -1;
    std::uint16_t port_ = 0;
};

}
