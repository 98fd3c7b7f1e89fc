#pragma once

#include "gateway/callerhttpconnection.h"
#include "gateway/gatewaycontext.h"
#include "gateway/operatorserver.h"
#include "gateway/peerexchange.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>

#include <memory>
#include <set>

namespace Lentillock
{

/// A gateway server: accepts connections of callers, serves their requests by the current serving plan, and drains on SIGTERM or SIGINT.
/// Single-threaded.
class Gateway
{
public:
    Gateway(GatewaySettings settings, const WireProtocol &wire);

    /// Runs until draining has completed, its time limit has passed, or a second stop signal arrives.
    void run();

    /// Replaces the serving plan, unless the current one has the same or a newer version.
    void applyPlan(const ServingPlanPointer &plan);

    /// Applies changes of the endpoint list, or the whole list, that this VM has read from the store up to @p position.
    void applyEndpointChanges(const std::vector<EndpointChange> &changes, const StorePosition &position);
    void replaceEndpoints(const std::vector<EndpointRecord> &records);

    /// Records that this VM has read the endpoint list up to @p position.
    void recordEndpointRead(const StorePosition &position);

    /// Applies the settings that can change at run time: the drain grace period and the retry budget.
    void applySettings(const GatewaySettings &settings);

    [[nodiscard]] GatewayContext &context();
    [[nodiscard]] const GatewayContext &context() const;
    [[nodiscard]] PeerExchange &peers();
    [[nodiscard]] const PeerExchange &peers() const;

    /// Called on SIGHUP, to reload the settings file.
    std::function<void()> onReload;

private:
    /// Runs handlers of completed I/O until none is ready or a timer is due.
    void runReadyHandlers();
    void listen();
    void accept();
    /// Closes the connection that has been waiting longest if there are too many. Returns whether another one may be opened.
    [[nodiscard]] bool makeRoomForConnection();
    void waitForSignal();
    void beginDrain(TimePoint now);
    void closeIdleConnections();
    [[nodiscard]] std::vector<std::shared_ptr<CallerHttpConnection>> openConnections() const;
    void stopIfDrained();
    void endRequests();
    void runMaintenance(TimePoint now);
    void applyEndpointUpdate(const EndpointUpdate &update);
    void onEndpointsChanged(TimePoint now);
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] OperatorServer::Response handleOperatorRequest(std::string_view path) const;
    [[nodiscard]] std::string stateJson() const;

    boost::asio::io_context io_;
    GatewayContext context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::signal_set signals_;
    PeerExchange peers_;
    RecentEndpointChanges recentEndpointChanges_;
    std::unique_ptr<OperatorServer> readinessServer_;
    std::unique_ptr<OperatorServer> metricsServer_;
    std::map<CallerHttpConnection *, std::shared_ptr<CallerHttpConnection>> callerConnections_;
    bool stopped_ = false;
};

}
