#pragma once

#include "base/identifier.h"
#include "base/time.h"
#include "dispatch/dispatchersettings.h"
#include "dispatch/messages.h"
#include "routing/routingpolicy.h"

#include <boost/json/object.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace Lentillock
{

class DispatcherState;

/// Decides what an entry process does with its requests. Performs no I/O; the shell passes in messages and carries out the actions in order.
class Dispatcher
{
public:
    Dispatcher(DispatcherSettings settings, std::unique_ptr<RoutingPolicy> policy);
    ~Dispatcher();
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    /// Takes one message. Whatever is due at @p now is decided first, so a late message never revives a request whose deadline has passed.
    std::vector<DispatchAction> handle(TimePoint now, const DispatchInput &input);

    /// Does everything that is due. To be called at nextDue() at the latest.
    std::vector<DispatchAction> advance(TimePoint now);

    [[nodiscard]] std::optional<TimePoint> nextDue() const;

    /// Counters, queue and active requests for operators.
    [[nodiscard]] boost::json::object dumpState(TimePoint now) const;

    /// The course of an active request or of one of the last finished ones.
    [[nodiscard]] std::optional<boost::json::object> explain(const RequestId &request, TimePoint now) const;

    /// Whether the request still needs its allocations and claims.
    [[nodiscard]] bool isActive(const RequestId &request) const;

    [[nodiscard]] bool isIdle() const;

private:
    std::unique_ptr<DispatcherState> state_;
};

}
