#include "entry/callerserver.h"

#include "entry/callerconnection.h"

#include <pistache/listener.h>
#include <pistache/net.h>
#include <pistache/tcp.h>

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Lentillock
{

namespace
{

constexpr milliseconds TickInterval{100};
constexpr std::size_t MaxEvents = 64;
constexpr auto ConnectionData = "lentillock-connection";

/// The connections of one server, shared by its handlers.
struct ConnectionTable {
    ConnectionTable(CallerServerSettings serverSettings, const SessionEnvironment &serverEnvironment, CallerServer::Dispatch dispatchFunction)
        : settings(std::move(serverSettings))
        , environment(serverEnvironment)
        , dispatch(std::move(dispatchFunction))
    {
        events.writableEpoll = ::epoll_create1(EPOLL_CLOEXEC);
    }

    ~ConnectionTable()
    {
        ::close(events.writableEpoll);
    }

    ConnectionTable(const ConnectionTable &) = delete;
    ConnectionTable &operator=(const ConnectionTable &) = delete;

    CallerServerSettings settings;
    const SessionEnvironment &environment;
    CallerServer::Dispatch dispatch;
    CallerConnection::Events events;

    std::atomic<std::uint64_t> nextConnection = 1;

    mutable std::mutex mutex;
    std::map<std::uint64_t, std::shared_ptr<CallerConnection>> connections;
    std::unordered_map<RequestId, std::shared_ptr<CallerConnection>> requests;

    std::vector<std::shared_ptr<CallerConnection>> allConnections() const
    {
        const std::lock_guard lock(mutex);
        std::vector<std::shared_ptr<CallerConnection>> result;
        result.reserve(connections.size());
        for (const auto &[id, connection] : connections) {
            result.push_back(connection);
        }
        return result;
    }

    std::shared_ptr<CallerConnection> byId(std::uint64_t id) const
    {
        const std::lock_guard lock(mutex);
        const auto found = connections.find(id);
        return found == connections.end() ? nullptr : found->second;
    }

    std::shared_ptr<CallerConnection> find(const RequestId &request) const
    {
        const std::lock_guard lock(mutex);
        const auto found = requests.find(request);
        return found == requests.end() ? nullptr : found->second;
    }

    void removeRequest(const RequestId &request)
    {
        const std::lock_guard lock(mutex);
        requests.erase(request);
    }
};

class CallerHandler : public Pistache::Tcp::Handler
{
public:
    PROTOTYPE_OF(Pistache::Tcp::Handler, CallerHandler)

    explicit CallerHandler(std::shared_ptr<ConnectionTable> table)
        : table_(std::move(table))
    {
    }

    void onConnection(const std::shared_ptr<Pistache::Tcp::Peer> &peer) override
    {
        const std::uint64_t id = table_->nextConnection++;
        auto connection = std::make_shared<CallerConnection>(id, table_->settings, table_->environment, table_->events, peer);
        bool full = false;
        {
            const std::lock_guard lock(table_->mutex);
            full = table_->connections.size() >= table_->settings.maxConnections;
            table_->connections.emplace(id, connection);
        }
        peer->putData(ConnectionData, connection);
        table_->environment.metrics.increment("lentillock_entry_connections_total", {{"result", full ? "refused" : "accepted"}});
        if (full) {
            connection->abort();
        }
    }

    void onInput(const char *buffer, std::size_t length, const std::shared_ptr<Pistache::Tcp::Peer> &peer) override
    {
        if (const auto connection = connectionOf(peer)) {
            connection->receive({buffer, length});
        }
    }

    void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer> &peer) override
    {
        const auto connection = connectionOf(peer);
        if (connection == nullptr) {
            return;
        }
        connection->onDisconnected();
        const std::lock_guard lock(table_->mutex);
        table_->connections.erase(connection->id());
    }

private:
    static std::shared_ptr<CallerConnection> connectionOf(const std::shared_ptr<Pistache::Tcp::Peer> &peer)
    {
        return std::static_pointer_cast<CallerConnection>(peer->tryGetData(ConnectionData));
    }

    std::shared_ptr<ConnectionTable> table_;
};

}

class CallerServer::Implementation
{
public:
    Implementation(CallerServerSettings settings, const SessionEnvironment &environment, Dispatch dispatch)
        : table_(std::make_shared<ConnectionTable>(std::move(settings), environment, std::move(dispatch)))
    {
        // The table outlives the connections that call these functions, so they capture a plain pointer to it.
        table_->events.admitted = [table = table_.get()](RequestSpecPtr spec, std::shared_ptr<CallerConnection> connection) {
            {
                const std::lock_guard lock(table->mutex);
                table->requests.emplace(spec->id, std::move(connection));
            }
            table->dispatch(RequestArrived{std::move(spec)});
        };
        table_->events.abandoned = [table = table_.get()](const RequestId &request) {
            table->removeRequest(request);
            table->dispatch(CallerDisconnected{request});
        };
    }

    ~Implementation()
    {
        stopped_ = true;
        if (ticker_.joinable()) {
            ticker_.join();
        }
        if (listening_) {
            listener_.shutdown();
        }
    }

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    std::uint16_t start()
    {
        using Pistache::Tcp::Options;
        const Pistache::Flags<Options> options(Options::NoDelay | Options::ReuseAddr | Options::CloseOnExec);
        listener_.init(table_->settings.threads, options, "caller");
        listener_.setHandler(std::make_shared<CallerHandler>(table_));
        listener_.bind(Pistache::Address(table_->settings.address));
        listener_.runThreaded();
        listening_ = true;
        ticker_ = std::thread([this] { tick(); });
        return listener_.getPort();
    }

    void deliver(const SendToCaller &part)
    {
        if (const auto connection = table_->find(part.request)) {
            connection->write(part);
            unflushed_.push_back(connection);
        }
    }

    void deliver(const FinishRequest &end)
    {
        if (const auto connection = table_->find(end.request)) {
            table_->removeRequest(end.request);
            connection->finish(end);
            unflushed_.push_back(connection);
        }
    }

    void flush()
    {
        std::sort(unflushed_.begin(), unflushed_.end());
        unflushed_.erase(std::unique(unflushed_.begin(), unflushed_.end()), unflushed_.end());
        for (const auto &connection : unflushed_) {
            connection->flush();
        }
        unflushed_.clear();
    }

    [[nodiscard]] bool isIdle() const
    {
        const auto connections = table_->allConnections();
        return std::none_of(connections.begin(), connections.end(), [](const auto &connection) { return connection->hasUnsentBytes(); });
    }

private:
    /// Sends unsent bytes on connections that have become writable and checks the timeouts of all connections.
    void tick()
    {
        std::array<epoll_event, MaxEvents> events{};
        TimePoint nextTick = std::chrono::steady_clock::now();
        while (!stopped_) {
            const int count
                = ::epoll_wait(table_->events.writableEpoll, events.data(), static_cast<int>(events.size()), static_cast<int>(TickInterval.count()));
            for (int index = 0; index < count; ++index) {
                if (const auto connection = table_->byId(events.at(static_cast<std::size_t>(index)).data.u64)) {
                    connection->flush();
                }
            }
            const TimePoint now = std::chrono::steady_clock::now();
            if (now < nextTick) {
                continue;
            }
            nextTick = now + TickInterval;
            for (const auto &connection : table_->allConnections()) {
                connection->advance(now);
            }
        }
    }

    std::shared_ptr<ConnectionTable> table_;
    Pistache::Tcp::Listener listener_;
    bool listening_ = false;
    std::vector<std::shared_ptr<CallerConnection>> unflushed_;
    std::atomic<bool> stopped_ = false;
    std::thread ticker_;
};

CallerServer::CallerServer(CallerServerSettings settings, const SessionEnvironment &environment, Dispatch dispatch)
    : implementation_(std::make_unique<Implementation>(std::move(settings), environment, std::move(dispatch)))
{
}

CallerServer::~CallerServer() = default;

std::uint16_t CallerServer::start()
{
    return implementation_->start();
}

void CallerServer::deliver(const SendToCaller &part)
{
    implementation_->deliver(part);
}

void CallerServer::deliver(const FinishRequest &end)
{
    implementation_->deliver(end);
}

void CallerServer::flush()
{
    implementation_->flush();
}

bool CallerServer::isIdle() const
{
    return implementation_->isIdle();
}

}
