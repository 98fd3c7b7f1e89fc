#pragma once

#include "base/metrics.h"
#include "control/configstate.h"
#include "control/peerclient.h"
#include "platform/logservice.h"

#include <atomic>
#include <functional>
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
    /// gRPC addresses of live peers, from which a configuration is fetched while the log is down.
    using Peers = std::function<std::vector<std::string>()>;

    ConfigTask(std::unique_ptr<LogService> log, Metrics &metrics, Peers peers, Publish publish);
    ConfigTask(const ConfigTask &) = delete;
    ConfigTask &operator=(const ConfigTask &) = delete;
    ~ConfigTask();

private:
    class Follower;

    void run();

    Metrics &metrics_;
    Peers peers_;
    Publish publish_;
    std::unique_ptr<Follower> follower_;
    std::atomic<bool> stopping_ = false;
    PeerClient client_;
    std::thread thread_;
};

}
