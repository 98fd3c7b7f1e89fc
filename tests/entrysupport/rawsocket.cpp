#include "entrysupport/rawsocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace Lentillock
{

namespace
{

constexpr std::size_t ReadSize = 65536;
constexpr int ListenBacklog = 1024;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

void setNoDelay(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}

RawSocket RawSocket::connect(std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(descriptor);
        throw std::runtime_error("cannot connect to port " + std::to_string(port));
    }
    setNoDelay(descriptor);
    return RawSocket(descriptor);
}

RawSocket::RawSocket(int descriptor)
    : descriptor_(descriptor)
{
}

RawSocket::~RawSocket()
{
    close();
}

RawSocket::RawSocket(RawSocket &&other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
    , buffer_(std::move(other.buffer_))
    , ended_(other.ended_)
{
}

RawSocket &RawSocket::operator=(RawSocket &&other) noexcept
{
    if (this != &other) {
        close();
        descriptor_ = std::exchange(other.descriptor_, -1);
        buffer_ = std::move(other.buffer_);
        ended_ = other.ended_;
    }
    return *this;
}

bool RawSocket::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

std::string RawSocket::readUntil(std::string_view delimiter, milliseconds timeout)
{
    const TimePoint deadline = std::chrono::steady_clock::now() + timeout;
    std::size_t found = buffer_.find(delimiter);
    while (found == std::string::npos && receive(deadline)) {
        found = buffer_.find(delimiter);
    }
    return readCount(found == std::string::npos ? buffer_.size() : found + delimiter.size(), milliseconds(0));
}

std::string RawSocket::readAll(milliseconds timeout)
{
    const TimePoint deadline = std::chrono::steady_clock::now() + timeout;
    while (receive(deadline)) { }
    return std::exchange(buffer_, {});
}

std::string RawSocket::readCount(std::size_t count, milliseconds timeout)
{
    const TimePoint deadline = std::chrono::steady_clock::now() + timeout;
    while (buffer_.size() < count && receive(deadline)) { }
    const std::size_t length = std::min(count, buffer_.size());
    std::string result = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return result;
}

bool RawSocket::ended() const
{
    return ended_;
}

void RawSocket::setReceiveBuffer(int bytes)
{
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
}

void RawSocket::shutdownSend()
{
    ::shutdown(descriptor_, SHUT_WR);
}

void RawSocket::close()
{
    if (descriptor_ >= 0) {
        ::close(std::exchange(descriptor_, -1));
    }
}

int RawSocket::descriptor() const
{
    return descriptor_;
}

bool RawSocket::receive(TimePoint deadline)
{
    const auto remaining = std::chrono::duration_cast<milliseconds>(deadline - std::chrono::steady_clock::now());
    pollfd entry{.fd = descriptor_, .events = POLLIN, .revents = 0};
    if (ended_ || remaining.count() <= 0 || ::poll(&entry, 1, static_cast<int>(remaining.count())) <= 0) {
        return false;
    }
    std::array<char, ReadSize> bytes; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by recv
    const ssize_t count = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
        ended_ = true;
        return false;
    }
    buffer_.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

RawListener::RawListener()
    : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address = loopback(0);
    socklen_t length = sizeof address;
    if (::bind(descriptor_, reinterpret_cast<const sockaddr *>(&address), length) != 0 || ::listen(descriptor_, ListenBacklog) != 0
        || ::getsockname(descriptor_, reinterpret_cast<sockaddr *>(&address), &length) != 0) {
        throw std::runtime_error("cannot listen on loopback");
    }
    port_ = ntohs(address.sin_port);
}

RawListener::~RawListener()
{
    close();
    ::close(descriptor_);
}

std::uint16_t RawListener::port() const
{
    return port_;
}

RawSocket RawListener::accept()
{
    const int descriptor = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor >= 0) {
        setNoDelay(descriptor);
    }
    return RawSocket(descriptor);
}

void RawListener::close()
{
    ::shutdown(descriptor_, SHUT_RDWR);
}

}
