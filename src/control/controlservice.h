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

/// Parts of the control process that the service uses to handle its calls.
struct ControlServiceDependencies {
    ClaimRouter &claimRouter;
    std::function<void(FleetMessage)> postToFleet;
    std::function<std::string(const std::string &part)> stateDump; ///< Returns the state of the process as JSON.
};

/// Implements the gRPC service Control, which entry processes, peers and operators call.
class ControlService
{
public:
    /// Listens on @p address, IP:PORT. The error is a std::string.
    static leaf::result<std::unique_ptr<ControlService>> listen(const std::string &address, ControlServiceDependencies dependencies);

    ControlService(const ControlService &) = delete;
    ControlService &operator=(const ControlService &) = delete;
    ~ControlService();

    /// Sends the endpoints and members of @p fleet on all WatchView streams.
    void setFleet(const FleetSnapshotPtr &fleet);

    /// Sets the configuration that the next setFleet() sends on the WatchView streams whose receivers have an older one.
    void setConfig(const ConfigStatePtr &config);

    [[nodiscard]] const std::string &address() const;

    /// Ends all WatchView streams, then shuts the server down. Calls that are still running after @p limit are cancelled.
    void shutDown(milliseconds limit);

private:
    class Implementation;

    ControlService(std::string address, std::unique_ptr<Implementation> implementation);

    std::string address_;
    std::unique_ptr<Implementation> implementation_;
};

}
