#pragma once

#include "control/claimrouter.h"
#include "control/configstate.h"
#include "control/fleetsnapshot.h"
#include "control/fleettask.h"

#include <boost/leaf/result.hpp>

#include <functional>
#include <memory>
#include <string>

namespace Lentillock
{

/// What the service passes its calls on to.
struct ControlServiceTargets {
    ClaimRouter &claims;
    std::function<void(FleetMessage)> fleet;
    std::function<std::string(const std::string &part)> state; ///< State dump as JSON.
};

/// The gRPC service Control: entries, peers and operators call it.
class ControlService
{
public:
    /// Listens on @p address, IP:PORT. The error is a std::string.
    static leaf::result<std::unique_ptr<ControlService>> listen(const std::string &address, ControlServiceTargets targets);

    ControlService(const ControlService &) = delete;
    ControlService &operator=(const ControlService &) = delete;
    ~ControlService();

    /// Sends the fleet to all watchers.
    void setFleet(const FleetSnapshotPtr &fleet);

    /// Sends the configuration to the watchers that do not have it, with the next fleet.
    void setConfig(const ConfigStatePtr &config);

    [[nodiscard]] const std::string &address() const;

    /// Ends all watches and waits for running calls, for at most @p limit.
    void shutDown(milliseconds limit);

private:
    class Implementation;

    ControlService(std::string address, std::unique_ptr<Implementation> implementation);

    std::string address_;
    std::unique_ptr<Implementation> implementation_;
};

}
