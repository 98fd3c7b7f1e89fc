#pragma once

#include "base/mailbox.h"
#include "base/metrics.h"
#include "config/configfollower.h"
#include "control/configstate.h"
#include "control/fleetsnapshot.h"
#include "control/peerclient.h"
#include "platform/logservice.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Lentillock
{

/// Task that follows the log stream "config" and publishes each configuration when it comes into force.
class ConfigTask
{
public:
    using PublishCallback = std::function<void(const ConfigStatePtr &)>;

    ConfigTask(std::unique_ptr<LogService> log, const ConfigFollower::Settings &settings, Metrics &metrics, PublishCallback publish);
    ConfigTask(const ConfigTask &) = delete;
    ConfigTask &operator=(const ConfigTask &) = delete;
    ~ConfigTask();

    /// Updates the peers and their configuration versions. A configuration is fetched from a peer while the log is unavailable.
    void setFleet(const FleetSnapshotPtr &fleet);

private:
    void run();
    void updatePeers();
    void handle(const ConfigInput &input);
    void perform(const ReadConfig &action);
    void perform(const AppendSnapshot &action);
    void perform(const FetchPeerConfig &action);
    void perform(const ConfigChanged &action);
    void perform(const ConfigAlarm &action);
    void publishIfChanged();
    [[nodiscard]] ConfigStatePtr buildState() const;

    std::unique_ptr<LogService> log_;
    Metrics &metrics_;
    PublishCallback publish_;
    ConfigFollower follower_;
    Mailbox<FleetSnapshotPtr> fleetSnapshots_;
    std::map<VmId, std::string> peerAddresses_;
    std::map<VmId, std::uint64_t> peerVersions_;
    ConfigStatePtr published_;
    std::atomic<bool> stopping_ = false;
    PeerClient peerClient_;
    std::thread thread_;
};

}
