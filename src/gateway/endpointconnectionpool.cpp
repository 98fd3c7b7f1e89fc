#include "gateway/endpointconnectionpool.h"

#include <algorithm>
#include <charconv>

namespace Lentillock
{

namespace
{

/// Allows for two round trips between availability zones and one retransmission.
constexpr Duration ConnectTimeout = 400ms;

/// Upper limit on the idle connections to one endpoint, however many it accepts.
constexpr std::size_t MaxIdleConnections = 16;

/// Fraction of an endpoint's connection limit that idle connections may use. The rest is left for busy connections, because an endpoint resets
/// connections beyond its limit.
constexpr double IdleFraction = 0.5;

}

std::optional<boost::asio::ip::tcp::endpoint> readSocketAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char *const end = address.data() + address.size();
    const auto result = std::from_chars(address.data() + colon + 1, end, port);
    boost::system::error_code error;
    const std::string ipText = address.substr(0, colon);
    const auto ip = boost::asio::ip::make_address_v4(ipText, error);
    // The address is also written into messages. The conversion ends at a zero byte and ignores what follows it.
    const bool isWhole = !error && ip.to_string() == ipText;
    const bool isValid = result.ec == std::errc() && result.ptr == end && port > 0 && isWhole;
    return isValid ? std::optional(boost::asio::ip::tcp::endpoint(ip, port)) : std::nullopt;
}

boost::asio::ip::tcp::endpoint parseSocketAddress(const std::string &address)
{
    return readSocketAddress(address).value_or(boost::asio::ip::tcp::endpoint());
}

std::size_t idleConnectionLimit(std::size_t maxConnections, std::size_t vmCount)
{
    if (maxConnections == 0) {
        return MaxIdleConnections;
    }
    const double share = IdleFraction * static_cast<double>(maxConnections) / static_cast<double>(std::max<std::size_t>(vmCount, 1));
    return std::min(MaxIdleConnections, static_cast<std::size_t>(share));
}

bool EndpointConnectionCounts::areAllLost() const
{
    return lost >= 2 && open == 0;
}

EndpointConnectionPool::EndpointConnectionPool(boost::asio::io_context &context)
    : context_(context)
{
}

HttpClientConnectionPointer EndpointConnectionPool::acquire(const EndpointRecord &endpoint, ConnectionReuse reuse, TimePoint now)
{
    if (reuse == ConnectionReuse::Allowed) {
        std::deque<HttpClientConnectionPointer> &idle = idle_[keyOf(endpoint)];
        while (!idle.empty()) {
            HttpClientConnectionPointer connection = idle.back();
            idle.pop_back();
            connection->setIdleCloseHandler({});
            if (connection->isReusable(now)) {
                return connection;
            }
            connection->close();
        }
    }
    ++openedCount_;
    auto connection = std::make_shared<HttpClientConnection>(context_, parseSocketAddress(endpoint.address), ConnectTimeout);
    std::vector<std::weak_ptr<HttpClientConnection>> &known = histories_[keyOf(endpoint)].connections;
    std::erase_if(known, [](const std::weak_ptr<HttpClientConnection> &weak) { return weak.expired(); });
    known.push_back(connection);
    return connection;
}

void EndpointConnectionPool::release(const EndpointRecord &endpoint, const HttpClientConnectionPointer &connection, std::size_t idleLimit, TimePoint now)
{
    const Key key = keyOf(endpoint);
    std::deque<HttpClientConnectionPointer> &idle = idle_[key];
    if (!connection->isReusable(now) || idle.size() >= idleLimit) {
        connection->close();
        return;
    }
    idle.push_back(connection);
    connection->setIdleCloseHandler([this, key, raw = connection.get()] {
        if (const TimePoint lostAt = monotonicNow(); raw->wasExpectedOpen(lostAt)) {
            recordLoss(key, lostAt);
        }
        const auto found = idle_.find(key);
        if (found != idle_.end()) {
            std::erase_if(found->second, [raw](const HttpClientConnectionPointer &known) { return known.get() == raw; });
        }
    });
}

void EndpointConnectionPool::recordLoss(const EndpointRecord &endpoint, TimePoint now)
{
    recordLoss(keyOf(endpoint), now);
}

void EndpointConnectionPool::recordLoss(const Key &key, TimePoint now)
{
    std::deque<TimePoint> &losses = histories_[key].losses;
    std::erase_if(losses, [now](TimePoint at) { return now - at > ConnectionLossWindow; });
    losses.push_back(now);
}

EndpointConnectionCounts EndpointConnectionPool::counts(const EndpointRecord &endpoint, TimePoint now) const
{
    EndpointConnectionCounts counts;
    const auto found = histories_.find(keyOf(endpoint));
    if (found == histories_.end()) {
        return counts;
    }
    TimePoint firstLoss = now;
    for (const TimePoint at : found->second.losses) {
        if (now - at <= ConnectionLossWindow) {
            firstLoss = std::min(firstLoss, at);
            ++counts.lost;
        }
    }
    for (const std::weak_ptr<HttpClientConnection> &weak : found->second.connections) {
        const auto connection = weak.lock();
        counts.open += connection && connection->isOpenSince(firstLoss) ? 1 : 0;
    }
    return counts;
}

void EndpointConnectionPool::prune(const EndpointDirectory &directory, TimePoint now)
{
    for (auto entry = idle_.begin(); entry != idle_.end();) {
        const EndpointRecord *record = directory.find(std::get<EndpointId>(entry->first));
        const bool isCurrent = record != nullptr && !record->isDraining && keyOf(*record) == entry->first;
        std::erase_if(entry->second, [isCurrent, now](const HttpClientConnectionPointer &connection) {
            if (isCurrent && connection->isReusable(now)) {
                return false;
            }
            connection->close();
            return true;
        });
        entry = isCurrent ? std::next(entry) : idle_.erase(entry);
    }
    std::erase_if(histories_, [&directory, now](const auto &entry) {
        const auto &[key, history] = entry;
        const EndpointRecord *record = directory.find(std::get<EndpointId>(key));
        const bool isRecent = !history.losses.empty() && now - history.losses.back() <= ConnectionLossWindow;
        const bool isInUse = std::any_of(history.connections.begin(), history.connections.end(), [](const auto &weak) { return !weak.expired(); });
        return !isRecent && !isInUse && (record == nullptr || keyOf(*record) != key);
    });
}

std::uint64_t EndpointConnectionPool::openedCount() const
{
    return openedCount_;
}

EndpointConnectionPool::Key EndpointConnectionPool::keyOf(const EndpointRecord &endpoint)
{
    return {endpoint.id, endpoint.address, endpoint.startedAtMs};
}

}
