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

/// Task that follows the log stream "config" and publishes each configuration that comes into force.
class ConfigTask
{
public:
    using Publish = std::function<void(const ConfigStatePtr &)>;

    ConfigTask(std::unique_ptr<LogService> log, const ConfigFollower::Settings &settings, Metrics &metrics, Publish publish);
    ConfigTask(const ConfigTask &) = delete;
    ConfigTask &operator=(const ConfigTask &) = delete;
    ~ConfigTask();

    /// The peers, from which a configuration is fetched while the log is down, and their versions.
    void setFleet(const FleetSnapshotPtr &fleet);

private:
    void run();
    void learnPeers();
    void handle(const ConfigInput &input);
    void perform(const ReadConfig &action);
    void perform(const AppendSnapshot &action);
    void perform(const FetchPeerConfig &action);
    void perform(const ConfigChanged &action);
    void perform(const ConfigAlarm &action);
    void publishIfChanged();
    [[nodiscard]] ConfigStatePtr state() const;

    std::unique_ptr<LogService> log_;
    Metrics &metrics_;
    Publish publish_;
    ConfigFollower follower_;
    Mailbox<FleetSnapshotPtr> fleets_;
    std::map<VmId, std::string> peerAddresses_;
    std::map<VmId, std::uint64_t> peerVersions_;
    ConfigStatePtr published_;
    std::atomic<bool> stopping_ = false;
    PeerClient client_;
    std::thread thread_;
};

}
