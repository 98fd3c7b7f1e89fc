#pragma once

#include "gateway/endpointdirectory.h"
#include "gateway/httpclientconnection.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace Lentillock
{

/// Whether a request may use a channel that has carried another request.
enum class ConnectionReuse {
    Allowed,
    Never, ///< A kept channel may be dead without a sign; a request that must not be sent twice would be lost on it.
};

/// Keeps idle channels to endpoints. Channels belong to one incarnation of an endpoint and go with it.
class EndpointConnectionPool
{
public:
    explicit EndpointConnectionPool(boost::asio::io_context &context);

    /// A channel to @p endpoint. The caller returns it with release() after a whole answer, or closes it.
    HttpClientConnectionPointer acquire(const EndpointRecord &endpoint, ConnectionReuse reuse, TimePoint now);
    /// Keeps @p connection unless @p idleLimit channels to the endpoint are idle already.
    void release(const EndpointRecord &endpoint, const HttpClientConnectionPointer &connection, std::size_t idleLimit, TimePoint now);

    /// Closes idle channels to endpoints that are leaving, gone or replaced, and those that are too old to be used.
    void prune(const EndpointDirectory &directory, TimePoint now);

    [[nodiscard]] std::uint64_t openedCount() const;

private:
    /// What names an incarnation: id, address and start.
    using Key = std::tuple<EndpointId, std::string, std::int64_t>;

    [[nodiscard]] static Key keyOf(const EndpointRecord &endpoint);

    boost::asio::io_context &context_;
    std::map<Key, std::deque<HttpClientConnectionPointer>> idle_; ///< The most recently used channel of an endpoint is last.
    std::uint64_t openedCount_ = 0;
};

/// Idle channels to one endpoint that a VM may keep if the endpoint accepts @p maxConnections from @p vmCount VMs; 0 for no such bound.
std::size_t idleConnectionLimit(std::size_t maxConnections, std::size_t vmCount);

/// Parses IP:PORT.
boost::asio::ip::tcp::endpoint socketAddress(const std::string &address);

}
