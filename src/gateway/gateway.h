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

/// One gateway process: accepts callers, serves them by the current plan, and drains on SIGTERM. Runs on one thread.
class Gateway
{
public:
    Gateway(GatewaySettings settings, const WireProtocol &wire);

    /// Runs until the process has drained or a second signal arrives.
    void run();

    /// Takes a version of the serving document into force, unless a newer one already is.
    void applyPlan(const ServingPlanPointer &plan);

    /// Takes the settings into force that may change while the process runs: the drain grace and the budget of repeated sends.
    void applySettings(const GatewaySettings &settings);

    [[nodiscard]] GatewayContext &context();
    [[nodiscard]] const GatewayContext &context() const;
    [[nodiscard]] PeerExchange &peers();
    [[nodiscard]] const PeerExchange &peers() const;

    /// Called when the settings file may have changed.
    std::function<void()> onReload;

private:
    void listen();
    void accept();
    void waitForSignal();
    void beginDrain(TimePoint now);
    void closeIdleCallers();
    [[nodiscard]] std::vector<std::shared_ptr<CallerHttpConnection>> openCallers() const;
    void stopIfDrained();
    void maintain(TimePoint now);
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] OperatorServer::Answer operatorAnswer(std::string_view path) const;
    [[nodiscard]] std::string stateDump() const;

    boost::asio::io_context io_;
    GatewayContext context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::signal_set signals_;
    PeerExchange peers_;
    std::unique_ptr<OperatorServer> readinessServer_;
    std::unique_ptr<OperatorServer> metricsServer_;
    std::map<CallerHttpConnection *, std::weak_ptr<CallerHttpConnection>> callers_;
    bool stopped_ = false;
};

}
