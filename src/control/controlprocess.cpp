#include "control/controlprocess.h"

#include "base/hash.h"
#include "base/log.h"
#include "base/metrics.h"
#include "config/configfold.h"
#include "control/claimrouter.h"
#include "control/configtask.h"
#include "control/controlservice.h"
#include "control/fleettask.h"
#include "control/operatorsserver.h"
#include "control/statedump.h"
#include "control/vmlisttask.h"
#include "platform/httplogservice.h"
#include "platform/httpvmlist.h"

#include <boost/json/serialize.hpp>

#include <mutex>
#include <utility>

namespace Lentillock
{

namespace
{

constexpr milliseconds VmListTimeout{1000};
/// Calls that still run at the end of a graceful shutdown have this time to finish.
constexpr milliseconds ShutdownLimit{1000};

Member ownMember(const ControlSettings &settings, const ControlAddresses &addresses)
{
    Member self;
    self.id = settings.vm;
    self.zone = settings.zone;
    self.gossipAddress = addresses.gossip;
    self.controlAddress = addresses.grpc;
    self.incarnation = static_cast<std::uint64_t>(std::chrono::floor<milliseconds>(std::chrono::system_clock::now()).time_since_epoch().count());
    self.rulesVersion = newestRulesVersion();
    return self;
}

}

std::string ControlAddresses::toJson() const
{
    return boost::json::serialize(boost::json::object{{"grpc", grpc}, {"gossip", gossip}, {"operators", operators}});
}

/// Members are destroyed in reverse order, so that each task ends before what it calls.
struct ControlProcess::Parts {
    explicit Parts(const ControlSettings &processSettings)
        : settings(processSettings)
        , claims(
              processSettings, [url = processSettings.log]() -> std::unique_ptr<LogService> { return std::make_unique<HttpLogService>(url); }, metrics)
        , fleet(std::make_shared<FleetSnapshot>())
        , config(std::make_shared<ConfigState>())
    {
    }

    Parts(const Parts &) = delete;
    Parts &operator=(const Parts &) = delete;

    ~Parts()
    {
        std::unique_ptr<ConfigTask> stopped;
        {
            const std::lock_guard lock(configTaskMutex);
            stopped = std::move(configTask);
        }
        stopped.reset();
        vmListTask.reset();
        claims.shutDown();
        if (service != nullptr) {
            service->shutDown(ShutdownLimit);
        }
    }

    void setFleet(const FleetSnapshotPtr &snapshot)
    {
        {
            const std::lock_guard lock(mutex);
            fleet = snapshot;
        }
        claims.setFleet(snapshot);
        service->setFleet(snapshot);
        const std::lock_guard lock(configTaskMutex);
        if (configTask != nullptr) {
            configTask->setFleet(snapshot);
        }
    }

    void setConfig(const ConfigStatePtr &state)
    {
        {
            const std::lock_guard lock(mutex);
            config = state;
        }
        metrics.setGauge("lentillock_config_version", static_cast<double>(state->version));
        service->setConfig(state);
        fleetTask->post(ConfigLoaded{state});
    }

    void postToFleet(FleetMessage message)
    {
        // The gRPC server listens before the fleet task exists, since members announce its port.
        const std::lock_guard lock(fleetTaskMutex);
        if (fleetTask != nullptr) {
            fleetTask->post(std::move(message));
        } else {
            earlyMessages.push_back(std::move(message));
        }
    }

    std::string state(const std::string &part) const
    {
        FleetSnapshotPtr currentFleet;
        ConfigStatePtr currentConfig;
        {
            const std::lock_guard lock(mutex);
            currentFleet = fleet;
            currentConfig = config;
        }
        return stateDump(*currentFleet, *currentConfig, claims.stats(), part);
    }

    bool isReady() const
    {
        const std::lock_guard lock(mutex);
        return fleet->self.ready && fleet->self.status == MemberStatus::Alive;
    }

    leaf::result<void> startServers();
    leaf::result<void> startTasks(UdpSocket socket);

    ControlSettings settings;
    ControlAddresses addresses;
    Metrics metrics;
    mutable std::mutex mutex;
    std::mutex fleetTaskMutex;
    std::mutex configTaskMutex;
    std::vector<FleetMessage> earlyMessages;
    ClaimRouter claims;
    FleetSnapshotPtr fleet;
    ConfigStatePtr config;
    std::unique_ptr<ControlService> service;
    std::unique_ptr<FleetTask> fleetTask;
    std::unique_ptr<ConfigTask> configTask;
    std::unique_ptr<VmListTask> vmListTask;
    std::unique_ptr<OperatorsServer> operators;
};

leaf::result<void> ControlProcess::Parts::startServers()
{
    ControlServiceDependencies dependencies{
        claims, [this](FleetMessage message) { postToFleet(std::move(message)); }, [this](const std::string &part) { return state(part); }};
    BOOST_LEAF_ASSIGN(service, ControlService::listen(settings.grpc, std::move(dependencies)));
    OperatorsContent content{[this] { return metrics.toText(); }, [this] { return state({}); }, [this] { return isReady(); }};
    BOOST_LEAF_ASSIGN(operators, OperatorsServer::listen(settings.operators, std::move(content)));
    addresses.grpc = service->address();
    addresses.operators = operators->address();
    return {};
}

leaf::result<void> ControlProcess::Parts::startTasks(UdpSocket socket)
{
    {
        const std::lock_guard lock(fleetTaskMutex);
        fleetTask = std::make_unique<FleetTask>(
            settings, ownMember(settings, addresses), std::move(socket), metrics, [this](const FleetSnapshotPtr &snapshot) { setFleet(snapshot); });
        for (FleetMessage &message : earlyMessages) {
            fleetTask->post(std::move(message));
        }
    }
    ConfigFollower::Settings followerSettings;
    followerSettings.retention = settings.logRetention;
    followerSettings.retentionRecords = static_cast<std::uint64_t>(settings.logRetentionRecords);
    followerSettings.seed = stableHash(settings.vm.value());
    const std::lock_guard lock(configTaskMutex);
    configTask = std::make_unique<ConfigTask>(
        std::make_unique<HttpLogService>(settings.log), followerSettings, metrics, [this](const ConfigStatePtr &state) { setConfig(state); });
    if (!settings.vmList.empty()) {
        vmListTask = std::make_unique<VmListTask>(std::make_unique<HttpVmList>(settings.vmList, VmListTimeout),
                                                  settings.vmListInterval,
                                                  metrics,
                                                  [this](std::vector<VmListEntry> vms) { fleetTask->post(VmsListed{std::move(vms)}); });
    }
    return {};
}

leaf::result<std::unique_ptr<ControlProcess>> ControlProcess::start(const ControlSettings &settings)
{
    auto parts = std::make_unique<Parts>(settings);
    BOOST_LEAF_AUTO(socket, UdpSocket::bind(settings.gossip));
    parts->addresses.gossip = socket.address();
    BOOST_LEAF_CHECK(parts->startServers());
    BOOST_LEAF_CHECK(parts->startTasks(std::move(socket)));
    Log::write(Log::Level::Info, "started", {{"vm", settings.vm.value()}, {"grpc", parts->addresses.grpc}});
    return std::unique_ptr<ControlProcess>(new ControlProcess(std::move(parts)));
}

ControlProcess::ControlProcess(std::unique_ptr<Parts> parts)
    : parts_(std::move(parts))
{
}

ControlProcess::~ControlProcess()
{
    Log::write(Log::Level::Info, "stopping", {{"vm", parts_->settings.vm.value()}});
}

const ControlAddresses &ControlProcess::addresses() const
{
    return parts_->addresses;
}

std::string ControlProcess::state(const std::string &part) const
{
    return parts_->state(part);
}

std::string ControlProcess::metricsText() const
{
    return parts_->metrics.toText();
}

void ControlProcess::announceLeaving()
{
    parts_->fleetTask->post(LeaveRequested{});
}

}
