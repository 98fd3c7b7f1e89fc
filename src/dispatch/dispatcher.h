#pragma once

#include "base/identifier.h"
#include "base/time.h"
#include "dispatch/dispatchcontext.h"
#include "dispatch/dispatchersettings.h"
#include "dispatch/finishedrequests.h"
#include "dispatch/messages.h"
#include "dispatch/requestcontroller.h"
#include "dispatch/requesttimers.h"
#include "routing/routingpolicy.h"

#include <boost/json/object.hpp>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Lentillock
{

/// Dispatches the requests of an entry process. Performs no I/O: the caller passes in messages and executes the returned actions in order.
class Dispatcher
{
public:
    Dispatcher(DispatcherSettings settings, std::unique_ptr<RoutingPolicy> policy);
    ~Dispatcher() = default;
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    /// Handles one message. Timers that have expired at @p now are handled first, so a late message cannot affect a request whose deadline has passed.
    std::vector<DispatchAction> handle(TimePoint now, const DispatchInput &input);

    /// Handles all expired timers. Must be called no later than nextDue().
    std::vector<DispatchAction> advance(TimePoint now);

    /// Time of the next call to advance(). May be earlier than the next action, but never later.
    [[nodiscard]] std::optional<TimePoint> nextDue() const;

    /// Returns counters, queue length and active requests as JSON for operators.
    [[nodiscard]] boost::json::object dumpState(TimePoint now) const;

    /// Returns the trace of an active or recently finished request, if it is known.
    [[nodiscard]] std::optional<boost::json::object> explain(const RequestId &request, TimePoint now) const;

    /// Returns true if the request still needs its allocations.
    [[nodiscard]] bool isActive(const RequestId &request) const;

    [[nodiscard]] bool isIdle() const;

private:
    using Requests = std::map<RequestId, std::unique_ptr<RequestController>>;

    void process(TimePoint now, const RequestArrived &message);
    void process(TimePoint now, const AllocationAnswered &message);
    void process(TimePoint now, const EndpointProbed &message);
    void process(TimePoint now, const ViewChanged &message);
    void process(TimePoint now, const ViewConfirmed &message);
    void process(TimePoint now, const DrainStarted &message);
    void process(TimePoint now, const AbortAll &message);
    template<typename Message>
    void process(TimePoint now, const Message &message);

    template<typename Message>
    void forward(TimePoint now, const RequestId &request, const Message &message);
    [[nodiscard]] const RequestId *findRequest(const AttemptId &attempt) const;
    [[nodiscard]] const RequestId *findRequest(const AllocationId &allocation) const;

    void updateLimits(TimePoint now);
    void handleExpiredTimers(TimePoint now);
    void placeQueuedRequests(TimePoint now);
    void runPlacementPass(TimePoint now);
    void updateRequest(Requests::iterator request);
    std::vector<DispatchAction> takeActions(TimePoint now);

    DispatchContext context_;
    Requests requests_;
    RequestTimers timers_;
    FinishedRequests finishedRequests_;
    TimePoint lastPlacementAt_;
    bool draining_ = false;
};

}
