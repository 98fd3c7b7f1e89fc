#include "gateway/gateway.h"

#include "base/log.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <csignal>

namespace Lentillock
{

namespace
{

using boost::asio::ip::tcp;

/// Longest time for which the event loop waits for events.
constexpr Duration MaxEventWait = 1s;

constexpr Duration MaintenanceInterval = 250ms;

/// Time for which a draining process still accepts connections. The load balancer checks readiness once a second and stops sending new
/// connections after two failed checks.
constexpr Duration DrainAcceptTime = 3500ms;

/// Blocks of this size and more are returned to the system when they are freed.
constexpr int SeparateBlockBytes = 128 * 1024;

constexpr Duration AcceptRetryDelay = 50ms;

/// Buffers of the kernel for one connection with a caller, which doubles the figure. Without a limit, callers that do not read take megabytes each.
constexpr int CallerSocketBufferBytes = 64 * 1024;

constexpr Duration DrainCheckInterval = 50ms;

/// Fraction of the drain grace period after which the requests that are still in progress are ended.
constexpr double DrainLimitFraction = 0.95;

/// Time in which the error responses to these requests are sent before the process ends.
constexpr Duration FinalWriteTime = 100ms;

}

Gateway::Gateway(GatewaySettings settings, const WireProtocol &wire)
    : io_(1)
    , context_(io_, std::move(settings), wire)
    , acceptor_(io_)
    , signals_(io_, SIGTERM, SIGINT, SIGHUP)
    , peers_(context_)
{
    peers_.onEndpointUpdate = [this](const EndpointUpdate &update) { applyEndpointUpdate(update); };
    context_.announceLeaving = [this](const EndpointRecord &endpoint) {
        peers_.sendEndpointUpdate({.position = context_.endpointPosition, .digest = context_.directory.digest(), .leaving = {endpoint}});
    };
}

void Gateway::run()
{
    // By default, the allocator keeps larger and larger blocks that were freed, and reserved memory may consist of such blocks.
    mallopt(M_MMAP_THRESHOLD, SeparateBlockBytes);
    listen();
    peers_.start();
    waitForSignal();
    context_.timers.schedulePeriodic(monotonicNow() + MaintenanceInterval, MaintenanceInterval, [this](TimePoint now) { runMaintenance(now); });
    Log::write(Log::Level::Info, "started", {{"vm", context_.settings.vm.value()}, {"callerAddress", context_.settings.callerAddress}});
    while (!stopped_) {
        const TimePoint due = context_.timers.nextDue().value_or(TimePoint::max());
        io_.run_one_until(std::min(due, monotonicNow() + MaxEventWait));
        runReadyHandlers();
        const TimePoint now = monotonicNow();
        context_.timers.advance(now);
        peers_.sendDue(now);
    }
    const std::size_t open = callerConnections_.size();
    for (const auto &connection : openConnections()) {
        connection->closeNow();
    }
    io_.poll(); // Destroys the requests in progress while the objects that they refer to still exist.
    Log::write(Log::Level::Info,
               "stopped",
               {{"callerConnections", std::to_string(open)}, {"staleEndpointRecords", std::to_string(context_.directory.staleRecordCount())}});
}

void Gateway::runReadyHandlers()
{
    // Not until none is ready, because an endpoint that sends without end would keep the timers waiting.
    while (io_.poll_one() > 0) {
        const auto due = context_.timers.nextDue();
        if (due && *due <= monotonicNow()) {
            return;
        }
    }
}

void Gateway::applyPlan(const ServingPlanPointer &plan)
{
    if (context_.plan && plan->version() <= context_.plan->version()) {
        return;
    }
    context_.plan = plan;
    context_.metrics.setGauge("lentillock_plan_version", static_cast<double>(plan->version()));
    Log::write(Log::Level::Info, "plan-applied", {{"version", std::to_string(plan->version())}, {"routes", std::to_string(plan->routeCount())}});
}

void Gateway::applyEndpointChanges(const std::vector<EndpointChange> &changes, const StorePosition &position)
{
    const TimePoint now = monotonicNow();
    if (recentEndpointChanges_.apply(context_.directory, changes, now)) {
        onEndpointsChanged(now);
        peers_.sendEndpointUpdate({.position = position, .digest = context_.directory.digest(), .changes = recentEndpointChanges_.list(now)});
    }
}

void Gateway::replaceEndpoints(const std::vector<EndpointRecord> &records)
{
    const TimePoint now = monotonicNow();
    const std::uint64_t revisionBefore = context_.directory.revision();
    context_.directory.replace(records, now);
    if (context_.directory.revision() != revisionBefore) {
        onEndpointsChanged(now);
    }
}

void Gateway::applyEndpointUpdate(const EndpointUpdate &update)
{
    for (const EndpointRecord &endpoint : update.leaving) {
        context_.directory.markLeaving(endpoint);
    }
    // An older update must not undo what this VM has read itself.
    if (update.position <= context_.endpointPosition) {
        return;
    }
    const TimePoint now = monotonicNow();
    if (recentEndpointChanges_.apply(context_.directory, update.changes, now)) {
        onEndpointsChanged(now);
    }
    if (context_.directory.digest() == update.digest) {
        context_.endpointPosition = update.position;
        context_.endpointFreshness.recordUpdate(now);
    }
}

void Gateway::onEndpointsChanged(TimePoint now)
{
    context_.connectionPool.prune(context_.directory, now);
    context_.promptPartGuard.onEndpointsChanged(context_.directory, now);
    for (const EndpointId &id : context_.directory.takeRestartedOrRemoved()) {
        context_.health.forget(id);
        context_.loggedRetryDelays.erase(id);
    }
    Log::write(Log::Level::Info,
               "endpoints-changed",
               {{"revision", std::to_string(context_.directory.revision())}, {"known", std::to_string(context_.directory.all().size())}});
}

void Gateway::recordEndpointRead(const StorePosition &position)
{
    const TimePoint now = monotonicNow();
    if (context_.directory.applyDueRemovals(now)) {
        onEndpointsChanged(now);
    }
    context_.endpointPosition = std::max(context_.endpointPosition, position);
    context_.endpointFreshness.recordRead(now);
    peers_.sendViewUpdate();
}

GatewayContext &Gateway::context()
{
    return context_;
}

void Gateway::applySettings(const GatewaySettings &settings)
{
    context_.settings.drainGrace = settings.drainGrace;
    context_.settings.retryBudget = settings.retryBudget;
    context_.retryBudget.setLimits(settings.retryBudget);
    Log::write(Log::Level::Info, "settings-applied", {{"drainGraceMs", std::to_string(settings.drainGrace.count())}});
}

const GatewayContext &Gateway::context() const
{
    return context_;
}

PeerExchange &Gateway::peers()
{
    return peers_;
}

const PeerExchange &Gateway::peers() const
{
    return peers_;
}

void Gateway::listen()
{
    const tcp::endpoint address = parseSocketAddress(context_.settings.callerAddress);
    acceptor_.open(address.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    // Inherited by accepted connections.
    acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(CallerSocketBufferBytes));
    acceptor_.set_option(boost::asio::socket_base::send_buffer_size(CallerSocketBufferBytes));
    acceptor_.bind(address);
    acceptor_.listen();
    accept();
    const auto handler = [this](std::string_view path) { return handleOperatorRequest(path); };
    readinessServer_ = std::make_unique<OperatorServer>(io_, parseSocketAddress(context_.settings.readinessAddress), handler);
    const tcp::endpoint metricsAddress(boost::asio::ip::make_address_v4(context_.settings.ip), context_.settings.metricsPort);
    metricsServer_ = std::make_unique<OperatorServer>(io_, metricsAddress, handler);
}

void Gateway::accept()
{
    acceptor_.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted || !acceptor_.is_open()) {
            return;
        }
        if (error) {
            context_.metrics.increment("lentillock_accept_failures_total");
        }
        if (error && error != boost::asio::error::connection_aborted) {
            // Descriptors are used up; at once, the same would happen again.
            context_.timers.scheduleOnce(monotonicNow() + AcceptRetryDelay, [this](TimePoint) { accept(); });
            return;
        }
        if (!error && makeRoomForConnection()) {
            const auto connection = std::make_shared<CallerHttpConnection>(
                context_, std::move(socket), [this](CallerHttpConnection *closed) { callerConnections_.erase(closed); });
            callerConnections_.emplace(connection.get(), connection);
            connection->start();
        }
        accept();
    });
}

bool Gateway::makeRoomForConnection()
{
    if (callerConnections_.size() < context_.settings.callerConnections) {
        return true;
    }
    std::shared_ptr<CallerHttpConnection> oldest;
    std::optional<TimePoint> oldestSince;
    for (const auto &[raw, connection] : callerConnections_) {
        const std::optional<TimePoint> since = connection->waitingSince();
        if (since && (!oldestSince || *since < *oldestSince)) {
            oldest = connection;
            oldestSince = since;
        }
    }
    context_.metrics.increment("lentillock_callers_evicted_total", {{"cause", oldest ? "connections" : "new-connection"}});
    if (!oldest) {
        return false;
    }
    oldest->closeNow();
    return true;
}

void Gateway::waitForSignal()
{
    signals_.async_wait([this](const boost::system::error_code &error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            Log::write(Log::Level::Info, "reload");
            if (onReload) {
                onReload();
            }
        } else if (context_.drainingSince) {
            stopped_ = true;
        } else {
            beginDrain(monotonicNow());
        }
        waitForSignal();
    });
}

void Gateway::beginDrain(TimePoint now)
{
    Log::write(Log::Level::Info, "draining", {{"callerConnections", std::to_string(callerConnections_.size())}});
    context_.drainingSince = now;
    context_.timers.scheduleOnce(now + DrainAcceptTime, [this](TimePoint) {
        acceptor_.close();
        closeIdleConnections();
        stopIfDrained();
    });
    const auto limit = std::chrono::duration_cast<Duration>(context_.settings.drainGrace * DrainLimitFraction);
    context_.timers.scheduleOnce(now + limit, [this](TimePoint) { endRequests(); });
}

void Gateway::endRequests()
{
    for (const auto &connection : openConnections()) {
        connection->endRequest();
    }
    context_.timers.scheduleOnce(monotonicNow() + FinalWriteTime, [this](TimePoint) { stopped_ = true; });
}

std::vector<std::shared_ptr<CallerHttpConnection>> Gateway::openConnections() const
{
    std::vector<std::shared_ptr<CallerHttpConnection>> open;
    for (const auto &[raw, connection] : callerConnections_) {
        open.push_back(connection);
    }
    return open;
}

void Gateway::closeIdleConnections()
{
    for (const auto &connection : openConnections()) {
        connection->closeIfIdle();
    }
}

void Gateway::stopIfDrained()
{
    if (callerConnections_.empty()) {
        stopped_ = true;
        return;
    }
    context_.timers.scheduleOnce(monotonicNow() + DrainCheckInterval, [this](TimePoint) {
        closeIdleConnections();
        stopIfDrained();
    });
}

void Gateway::runMaintenance(TimePoint now)
{
    context_.connectionPool.prune(context_.directory, now);
    context_.fleetLoad.expirePeers(now);
    context_.promptPartGuard.expire(now);
    context_.metrics.setGauge("lentillock_caller_channels", static_cast<double>(callerConnections_.size()));
    context_.metrics.setGauge("lentillock_caller_memory_bytes", static_cast<double>(context_.callerMemory.heldBytes()));
    context_.metrics.setGauge("lentillock_endpoint_channels_opened", static_cast<double>(context_.connectionPool.openedCount()));
    context_.metrics.setGauge("lentillock_stale_endpoint_records", static_cast<double>(context_.directory.staleRecordCount()));
    context_.metrics.setGauge("lentillock_log_lines_dropped", static_cast<double>(Log::droppedLines()));
    peers_.updateMetrics();
    peers_.updateReaderRank(now);
    context_.metrics.setGauge("lentillock_peer_vms", static_cast<double>(context_.fleetLoad.peerCount()));
}

bool Gateway::isReady() const
{
    return !context_.drainingSince && context_.plan && !context_.directory.all().empty();
}

OperatorServer::Response Gateway::handleOperatorRequest(std::string_view path) const
{
    if (path == context_.wire.readinessPath()) {
        return {.status = isReady() ? 200U : 503U};
    }
    if (path == "/metrics") {
        return {.contentType = "text/plain; version=0.0.4", .body = context_.metrics.toText()};
    }
    if (path == "/state") {
        return {.contentType = "application/json", .body = stateJson()};
    }
    return {.status = 404};
}

std::string Gateway::stateJson() const
{
    const TimePoint now = monotonicNow();
    boost::json::array endpoints;
    for (const auto &[id, record] : context_.directory.all()) {
        const EndpointLoad load = context_.fleetLoad.totalLoad(id, now);
        endpoints.push_back(boost::json::object{{"id", id.value()},
                                                {"service", record.service},
                                                {"address", record.address},
                                                {"leaving", record.isDraining || context_.directory.hasSaidLeaving(record)},
                                                {"closed", context_.health.closedUntil(id, now).has_value()},
                                                {"suspended", context_.health.isSuspended(id, now)},
                                                {"failureShare", context_.health.failureRate(id)},
                                                {"requests", load.requests},
                                                {"remainingReadMs", load.remainingPrefillMs()},
                                                {"memoryTokens", load.memoryTokens}});
    }
    boost::json::array blocks;
    for (const PromptPartBlock &block : context_.promptPartGuard.attribution().blocks()) {
        blocks.push_back(boost::json::object{{"kind", block.isForWholePrompt() ? "prompt" : "parts"},
                                             {"promptParts", promptPartsText(block.parts)},
                                             {"promptHash", promptHashText(block.promptHash)},
                                             {"inForce", block.isInForce()},
                                             {"revision", block.revision},
                                             {"ageMs", std::round(inMilliseconds(now - block.since))},
                                             {"remainingMs", std::round(inMilliseconds(std::max(Duration::zero(), block.until - now)))},
                                             {"failedTrials", block.failedTrials}});
    }
    boost::json::array groupAges;
    for (const Duration age : context_.fleetLoad.groupAges(now)) {
        groupAges.push_back(std::round(inMilliseconds(age)));
    }
    return boost::json::serialize(boost::json::object{{"vm", context_.settings.vm.value()},
                                                      {"planVersion", context_.plan ? context_.plan->version() : 0},
                                                      {"storeEra", context_.endpointPosition.era},
                                                      {"endpointOffset", context_.endpointPosition.offset},
                                                      {"draining", context_.drainingSince.has_value()},
                                                      {"callers", callerConnections_.size()},
                                                      {"peerVms", context_.fleetLoad.peerCount()},
                                                      {"groupVms", context_.fleetLoad.groupPeerCount()},
                                                      {"isReporter", peers_.exchange().isReporter()},
                                                      {"readsStoreFirst", context_.readerRank.inFleet == 0},
                                                      {"readsStoreForGroup", context_.readerRank.inGroup == 0},
                                                      {"promptPartBlocks", std::move(blocks)},
                                                      {"startCrashes", context_.promptPartGuard.attribution().crashCount()},
                                                      {"groupAgesMs", std::move(groupAges)},
                                                      {"endpoints", std::move(endpoints)}});
}

}
