#include "control/controlprocess.h"

#include "base/hash.h"
#include "base/log.h"
#include "base/metrics.h"
#include "config/configstatemachine.h"
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
/// Time that running gRPC calls have to finish during a shutdown.
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

/// Members are destroyed in reverse order of declaration, so that each task is stopped before the objects that it calls are destroyed.
struct ControlProcess::Implementation {
    explicit Implementation(const ControlSettings &processSettings)
        : settings(processSettings)
        , claimRouter(
              processSettings, [url = processSettings.log]() -> std::unique_ptr<LogService> { return std::make_unique<HttpLogService>(url); }, metrics)
        , fleetSnapshot(std::make_shared<FleetSnapshot>())
        , configState(std::make_shared<ConfigState>())
    {
    }

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    ~Implementation()
    {
        std::unique_ptr<ConfigTask> stoppingTask;
        {
            const std::lock_guard lock(configTaskMutex);
            stoppingTask = std::move(configTask);
        }
        stoppingTask.reset();
        vmListTask.reset();
        claimRouter.shutDown();
        if (controlService != nullptr) {
            controlService->shutDown(ShutdownLimit);
        }
    }

    void setFleet(const FleetSnapshotPtr &snapshot)
    {
        {
            const std::lock_guard lock(stateMutex);
            fleetSnapshot = snapshot;
        }
        claimRouter.setFleet(snapshot);
        controlService->setFleet(snapshot);
        const std::lock_guard lock(configTaskMutex);
        if (configTask != nullptr) {
            configTask->setFleet(snapshot);
        }
    }

    void setConfig(const ConfigStatePtr &state)
    {
        {
            const std::lock_guard lock(stateMutex);
            configState = state;
        }
        metrics.setGauge("lentillock_config_version", static_cast<double>(state->version));
        controlService->setConfig(state);
        fleetTask->post(ConfigLoaded{state});
    }

    void postToFleet(FleetMessage message)
    {
        // The gRPC server is started before the fleet task, since the fleet task announces its port to the other members. Messages from calls that
        // arrive in between are kept until the task exists.
        const std::lock_guard lock(fleetTaskMutex);
        if (fleetTask != nullptr) {
            fleetTask->post(std::move(message));
        } else {
            pendingMessages.push_back(std::move(message));
        }
    }

    std::string state(const std::string &part) const
    {
        FleetSnapshotPtr currentFleet;
        ConfigStatePtr currentConfig;
        {
            const std::lock_guard lock(stateMutex);
            currentFleet = fleetSnapshot;
            currentConfig = configState;
        }
        return stateDump(*currentFleet, *currentConfig, claimRouter.stats(), part);
    }

    bool isReady() const
    {
        const std::lock_guard lock(stateMutex);
        return fleetSnapshot->self.ready && fleetSnapshot->self.status == MemberStatus::Alive;
    }

    leaf::result<void> startServers();
    leaf::result<void> startTasks(UdpSocket socket);

    ControlSettings settings;
    ControlAddresses addresses;
    Metrics metrics;
    mutable std::mutex stateMutex;
    std::mutex fleetTaskMutex;
    std::mutex configTaskMutex;
    std::vector<FleetMessage> pendingMessages;
    ClaimRouter claimRouter;
    FleetSnapshotPtr fleetSnapshot;
    ConfigStatePtr configState;
    std::unique_ptr<ControlService> controlService;
    std::unique_ptr<FleetTask> fleetTask;
    std::unique_ptr<ConfigTask> configTask;
    std::unique_ptr<VmListTask> vmListTask;
    std::unique_ptr<OperatorsServer> operatorsServer;
};

leaf::result<void> ControlProcess::Implementation::startServers()
{
    ControlServiceDependencies dependencies{
        claimRouter, [this](FleetMessage message) { postToFleet(std::move(message)); }, [this](const std::string &part) { return state(part); }};
    BOOST_LEAF_ASSIGN(controlService, ControlService::listen(settings.grpc, std::move(dependencies)));
    OperatorsCallbacks callbacks{[this] { return metrics.toText(); }, [this] { return state({}); }, [this] { return isReady(); }};
    BOOST_LEAF_ASSIGN(operatorsServer, OperatorsServer::listen(settings.operators, std::move(callbacks)));
    addresses.grpc = controlService->address();
    addresses.operators = operatorsServer->address();
    return {};
}

leaf::result<void> ControlProcess::Implementation::startTasks(UdpSocket socket)
{
    {
        const std::lock_guard lock(fleetTaskMutex);
        fleetTask = std::make_unique<FleetTask>(
            settings, ownMember(settings, addresses), std::move(socket), metrics, [this](const FleetSnapshotPtr &snapshot) { setFleet(snapshot); });
        for (FleetMessage &message : pendingMessages) {
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
    auto implementation = std::make_unique<Implementation>(settings);
    BOOST_LEAF_AUTO(socket, UdpSocket::bind(settings.gossip));
    implementation->addresses.gossip = socket.address();
    BOOST_LEAF_CHECK(implementation->startServers());
    BOOST_LEAF_CHECK(implementation->startTasks(std::move(socket)));
    Log::write(Log::Level::Info, "started", {{"vm", settings.vm.value()}, {"grpc", implementation->addresses.grpc}});
    return std::unique_ptr<ControlProcess>(new ControlProcess(std::move(implementation)));
}

ControlProcess::ControlProcess(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation))
{
}

ControlProcess::~ControlProcess()
{
    Log::write(Log::Level::Info, "stopping", {{"vm", implementation_->settings.vm.value()}});
}

const ControlAddresses &ControlProcess::addresses() const
{
    return implementation_->addresses;
}

std::string ControlProcess::state(const std::string &part) const
{
    return implementation_->state(part);
}

std::string ControlProcess::metricsText() const
{
    return implementation_->metrics.toText();
}

void ControlProcess::announceLeaving()
{
    implementation_->fleetTask->post(LeaveRequested{});
}

}
