#pragma once

#include "control/controlsettings.h"

#include <boost/leaf/result.hpp>

#include <memory>
#include <string>

namespace Lentillock
{

namespace leaf = boost::leaf;

/// Addresses that a control process listens on.
struct ControlAddresses {
    std::string grpc;
    std::string gossip;
    std::string operators;

    /// Returns one line of JSON. Its members are named like the settings.
    [[nodiscard]] std::string toJson() const;

    bool operator==(const ControlAddresses &) const = default;
};

/// Owns the servers and tasks of lentillock-control and connects them.
class ControlProcess
{
public:
    /// Starts all servers and tasks. The error is a std::string.
    static leaf::result<std::unique_ptr<ControlProcess>> start(const ControlSettings &settings);

    ControlProcess(const ControlProcess &) = delete;
    ControlProcess &operator=(const ControlProcess &) = delete;
    ~ControlProcess();

    [[nodiscard]] const ControlAddresses &addresses() const;

    /// Returns the state of the process as JSON: the top-level member @p part, or all if it is empty.
    [[nodiscard]] std::string state(const std::string &part) const;
    [[nodiscard]] std::string metricsText() const;

    /// Announces to the other members that this VM is leaving. The process continues to serve.
    void announceLeaving();

private:
    struct Implementation;

    explicit ControlProcess(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> implementation_;
};

}
