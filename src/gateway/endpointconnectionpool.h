#pragma once

#include "gateway/endpointdirectory.h"
#include "gateway/httpclientconnection.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lentillock
{

/// Whether a request may use a connection that has carried another request.
enum class ConnectionReuse {
    Allowed,
    Never, ///< For requests that must not be sent twice: an idle connection may be closed already, and a request on it would be lost.
};

/// Connections of this VM to one incarnation of an endpoint.
struct EndpointConnectionCounts {
    std::size_t open = 0; ///< Without those that have been established since the first of the lost ones was lost.
    std::size_t lost = 0; ///< Closed by the endpoint within the last ConnectionLossWindow, before their time.

    auto operator<=>(const EndpointConnectionCounts &) const = default;

    /// Whether the endpoint has closed several connections and all of them, as it does when its process ends.
    [[nodiscard]] bool areAllLost() const;
};

/// Connections that an endpoint loses within this time are lost at one moment. Allows for one retransmission between availability zones.
inline constexpr Duration ConnectionLossWindow = 250ms;

/// Pools idle connections to endpoints. A connection belongs to one incarnation of an endpoint and is closed when that incarnation ends.
class EndpointConnectionPool
{
public:
    explicit EndpointConnectionPool(boost::asio::io_context &context);

    /// Returns a connection to @p endpoint. The caller passes it to release() after a complete response, or closes it.
    HttpClientConnectionPointer acquire(const EndpointRecord &endpoint, ConnectionReuse reuse, TimePoint now);
    /// Returns @p connection to the pool, or closes it if the endpoint already has @p idleLimit idle connections.
    void release(const EndpointRecord &endpoint, const HttpClientConnectionPointer &connection, std::size_t idleLimit, TimePoint now);

    /// Records that @p endpoint has closed a connection with a request in progress. Losses of idle connections are recorded by the pool itself.
    void recordLoss(const EndpointRecord &endpoint, TimePoint now);

    [[nodiscard]] EndpointConnectionCounts counts(const EndpointRecord &endpoint, TimePoint now) const;

    /// Closes idle connections that have expired, and those to endpoints that are draining, removed or replaced.
    void prune(const EndpointDirectory &directory, TimePoint now);

    [[nodiscard]] std::uint64_t openedCount() const;

private:
    /// Identifies an incarnation of an endpoint: id, address and start time.
    using Key = std::tuple<EndpointId, std::string, std::int64_t>;

    struct History {
        std::vector<std::weak_ptr<HttpClientConnection>> connections; ///< Those that were open or being opened when the last one was added.
        std::deque<TimePoint> losses;
    };

    [[nodiscard]] static Key keyOf(const EndpointRecord &endpoint);
    void recordLoss(const Key &key, TimePoint now);

    boost::asio::io_context &context_;
    std::map<Key, std::deque<HttpClientConnectionPointer>> idle_; ///< For each endpoint, the most recently used connection is last.
    std::map<Key, History> histories_;
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
