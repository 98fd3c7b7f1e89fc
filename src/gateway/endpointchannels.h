#pragma once

#include "gateway/endpointdirectory.h"
#include "gateway/httpchannel.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace Lentillock
{

/// Whether a request may use a channel that has carried another request.
enum class ChannelChoice {
    Kept,
    Fresh, ///< A kept channel may be dead without a sign; a request that must not be sent twice would be lost on it.
};

/// Keeps idle channels to endpoints. Channels belong to one incarnation of an endpoint and go with it.
class EndpointChannels
{
public:
    explicit EndpointChannels(boost::asio::io_context &context);

    /// A channel to @p endpoint. The caller returns it with release() after a whole answer, or closes it.
    HttpChannelPointer acquire(const EndpointRecord &endpoint, ChannelChoice choice, TimePoint now);
    void release(const EndpointRecord &endpoint, const HttpChannelPointer &channel, TimePoint now);

    /// Closes idle channels to endpoints that are leaving, gone or replaced, and those that are too old to be used.
    void prune(const EndpointDirectory &directory, TimePoint now);

    [[nodiscard]] std::uint64_t openedCount() const;

private:
    using Key = std::pair<EndpointId, std::string>;
    struct Entry {
        EndpointRecord endpoint;
        std::deque<HttpChannelPointer> idle; ///< The most recently used one is last.
    };

    [[nodiscard]] static Key keyOf(const EndpointRecord &endpoint);
    Entry &entryOf(const EndpointRecord &endpoint);

    boost::asio::io_context &context_;
    std::map<Key, Entry> entries_;
    std::uint64_t openedCount_ = 0;
};

/// Parses IP:PORT.
boost::asio::ip::tcp::endpoint socketAddress(const std::string &address);

}
