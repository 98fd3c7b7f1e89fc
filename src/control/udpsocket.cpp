#include "control/udpsocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <utility>

namespace Lentillock
{

namespace
{

constexpr std::size_t MaxDatagramSize = 65536;

std::optional<sockaddr_in> parseAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    std::uint16_t port = 0;
    const char *end = address.data() + address.size();
    const auto [stop, error] = std::from_chars(address.data() + colon + 1, end, port);
    if (error != std::errc() || stop != end || inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr) != 1) {
        return std::nullopt;
    }
    parsed.sin_port = htons(port);
    return parsed;
}

std::string toText(const sockaddr_in &address)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return std::string(text.data()) + ':' + std::to_string(ntohs(address.sin_port));
}

}

leaf::result<UdpSocket> UdpSocket::bind(const std::string &address)
{
    const auto parsed = parseAddress(address);
    if (!parsed) {
        return leaf::new_error(std::string("\"" + address + "\" is not an address of the form IP:PORT"));
    }
    UdpSocket socket(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), {});
    sockaddr_in bound = *parsed;
    socklen_t length = sizeof(bound);
    if (socket.descriptor_ < 0 || ::bind(socket.descriptor_, reinterpret_cast<const sockaddr *>(&*parsed), sizeof(*parsed)) != 0
        || getsockname(socket.descriptor_, reinterpret_cast<sockaddr *>(&bound), &length) != 0) {
        return leaf::new_error("cannot bind UDP address " + address + ": " + std::strerror(errno));
    }
    socket.address_ = toText(bound);
    return socket;
}

UdpSocket::UdpSocket(int descriptor, std::string address)
    : descriptor_(descriptor)
    , address_(std::move(address))
{
}

UdpSocket::UdpSocket(UdpSocket &&other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
    , address_(std::move(other.address_))
{
}

UdpSocket &UdpSocket::operator=(UdpSocket &&other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    std::swap(address_, other.address_);
    return *this;
}

UdpSocket::~UdpSocket()
{
    if (descriptor_ >= 0) {
        close(descriptor_);
    }
}

void UdpSocket::send(const std::string &address, std::string_view data) const
{
    if (const auto target = parseAddress(address)) {
        sendto(descriptor_, data.data(), data.size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr *>(&*target), sizeof(*target));
    }
}

std::optional<Datagram> UdpSocket::receive() const
{
    std::array<char, MaxDatagramSize> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by recvfrom
    sockaddr_in source{};
    socklen_t length = sizeof(source);
    const ssize_t size = recvfrom(descriptor_, buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr *>(&source), &length);
    if (size < 0) {
        return std::nullopt;
    }
    return Datagram{toText(source), std::string(buffer.data(), static_cast<std::size_t>(size))};
}

const std::string &UdpSocket::address() const
{
    return address_;
}

int UdpSocket::descriptor() const
{
    return descriptor_;
}

}
