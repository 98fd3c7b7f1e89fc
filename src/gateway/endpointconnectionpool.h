#pragma once

#include "gateway/endpointdirectory.h"
#include "gateway/httpclientconnection.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace Lentillock
{

/// Whether a request may use a connection that has carried another request.
enum class ConnectionReuse {
    Allowed,
    Never, ///< For requests that must not be sent twice: an idle connection may be closed already, and a request on it would be lost.
};

/// Pools idle connections to endpoints. A connection belongs to one incarnation of an endpoint and is closed when that incarnation ends.
class EndpointConnectionPool
{
public:
    explicit EndpointConnectionPool(boost::asio::io_context &context);

    /// Returns a connection to @p endpoint. The caller passes it to release() after a complete response, or closes it.
    HttpClientConnectionPointer acquire(const EndpointRecord &endpoint, ConnectionReuse reuse, TimePoint now);
    /// Returns @p connection to the pool, or closes it if the endpoint already has @p idleLimit idle connections.
    void release(const EndpointRecord &endpoint, const HttpClientConnectionPointer &connection, std::size_t idleLimit, TimePoint now);

    /// Closes idle connections that have expired, and those to endpoints that are draining, removed or replaced.
    void prune(const EndpointDirectory &directory, TimePoint now);

    [[nodiscard]] std::uint64_t openedCount() const;

private:
    /// Identifies an incarnation of an endpoint: id, address and start time.
    using Key = std::tuple<EndpointId, std::string, std::int64_t>;

    [[nodiscard]] static Key keyOf(const EndpointRecord &endpoint);

    boost::asio::io_context &context_;
    std::map<Key, std::deque<HttpClientConnectionPointer>> idle_; ///< For each endpoint, the most recently used connection is last.
    std::uint64_t openedCount_ = 0;
};

/// Returns how many idle connections to one endpoint a VM may keep if the endpoint accepts @p maxConnections from all @p vmCount VMs together.
/// A @p maxConnections of 0 means that the endpoint states no limit.
std::size_t idleConnectionLimit(std::size_t maxConnections, std::size_t vmCount);

/// Reads an address in the form "IPv4:port". Returns std::nullopt if it is not one or if the port is out of range.
std::optional<boost::asio::ip::tcp::endpoint> readSocketAddress(const std::string &address);

/// The same, with a default endpoint if @p address is not valid.
boost::asio::ip::tcp::endpoint parseSocketAddress(const std::string &address);

}
