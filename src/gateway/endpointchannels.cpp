#include "gateway/endpointchannels.h"

#include <algorithm>
#include <charconv>

namespace Lentillock
{

namespace
{

/// Bound on the time to open a channel. Twice the round trip between zones and one retransmission.
constexpr Duration ConnectTimeout = 400ms;

/// Idle channels that are kept for each endpoint, whatever it accepts.
constexpr std::size_t MaxIdleChannels = 16;

/// Part of the channels of an endpoint that may be idle; an endpoint resets those that exceed its bound, and busy ones need the rest.
constexpr double IdlePart = 0.5;

}

boost::asio::ip::tcp::endpoint socketAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string::npos) {
        std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    }
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address_v4(address.substr(0, colon), error);
    return error ? boost::asio::ip::tcp::endpoint() : boost::asio::ip::tcp::endpoint(ip, port);
}

std::size_t idleChannelLimit(std::size_t maxChannels, std::size_t vmCount)
{
    if (maxChannels == 0) {
        return MaxIdleChannels;
    }
    const double share = IdlePart * static_cast<double>(maxChannels) / static_cast<double>(std::max<std::size_t>(vmCount, 1));
    return std::min(MaxIdleChannels, static_cast<std::size_t>(share));
}

EndpointChannels::EndpointChannels(boost::asio::io_context &context)
    : context_(context)
{
}

HttpChannelPointer EndpointChannels::acquire(const EndpointRecord &endpoint, ChannelChoice choice, TimePoint now)
{
    if (choice == ChannelChoice::Kept) {
        std::deque<HttpChannelPointer> &idle = idle_[keyOf(endpoint)];
        while (!idle.empty()) {
            HttpChannelPointer channel = idle.back();
            idle.pop_back();
            channel->setIdleCloseHandler({});
            if (channel->isReusable(now)) {
                return channel;
            }
            channel->close();
        }
    }
    ++openedCount_;
    return std::make_shared<HttpChannel>(context_, socketAddress(endpoint.address), ConnectTimeout);
}

void EndpointChannels::release(const EndpointRecord &endpoint, const HttpChannelPointer &channel, std::size_t idleLimit, TimePoint now)
{
    const Key key = keyOf(endpoint);
    std::deque<HttpChannelPointer> &idle = idle_[key];
    if (!channel->isReusable(now) || idle.size() >= idleLimit) {
        channel->close();
        return;
    }
    idle.push_back(channel);
    channel->setIdleCloseHandler([this, key, raw = channel.get()] {
        const auto found = idle_.find(key);
        if (found != idle_.end()) {
            std::erase_if(found->second, [raw](const HttpChannelPointer &known) { return known.get() == raw; });
        }
    });
}

void EndpointChannels::prune(const EndpointDirectory &directory, TimePoint now)
{
    for (auto entry = idle_.begin(); entry != idle_.end();) {
        const EndpointRecord *record = directory.find(std::get<EndpointId>(entry->first));
        const bool isCurrent = record != nullptr && !record->isLeaving && keyOf(*record) == entry->first;
        std::erase_if(entry->second, [isCurrent, now](const HttpChannelPointer &channel) {
            if (isCurrent && channel->isReusable(now)) {
                return false;
            }
            channel->close();
            return true;
        });
        entry = isCurrent ? std::next(entry) : idle_.erase(entry);
    }
}

std::uint64_t EndpointChannels::openedCount() const
{
    return openedCount_;
}

EndpointChannels::Key EndpointChannels::keyOf(const EndpointRecord &endpoint)
{
    return {endpoint.id, endpoint.address, endpoint.startedAtMs};
}

}
