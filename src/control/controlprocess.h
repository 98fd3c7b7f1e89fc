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

    /// One JSON line, under the names of the settings.
    [[nodiscard]] std::string toJson() const;

    bool operator==(const ControlAddresses &) const = default;
};

/// The tasks of lentillock-control and what connects them.
class ControlProcess
{
public:
    /// Starts all servers and tasks. The error is a std::string.
    static leaf::result<std::unique_ptr<ControlProcess>> start(const ControlSettings &settings);

    ControlProcess(const ControlProcess &) = delete;
    ControlProcess &operator=(const ControlProcess &) = delete;
    ~ControlProcess();

    [[nodiscard]] const ControlAddresses &addresses() const;

    /// State dump as JSON; @p part is one of its top-level members, or empty for all.
    [[nodiscard]] std::string state(const std::string &part) const;
    [[nodiscard]] std::string metricsText() const;

    /// Tells the other members that this VM leaves. The process keeps serving.
    void announceLeaving();

private:
    struct Parts;

    explicit ControlProcess(std::unique_ptr<Parts> parts);

    std::unique_ptr<Parts> parts_;
};

}
