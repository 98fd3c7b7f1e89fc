#pragma once

#include "base/identifier.h"
#include "base/time.h"
#include "dispatch/dispatchcontext.h"
#include "dispatch/dispatchersettings.h"
#include "dispatch/requesttimers.h"
#include "dispatch/finishedrequests.h"
#include "dispatch/messages.h"
#include "dispatch/requestcontroller.h"
#include "routing/routingpolicy.h"

#include <boost/json/object.hpp>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Lentillock
{

/// Decides what an entry process does with its requests. Performs no I/O; the shell passes in messages and carries out the actions in order.
class Dispatcher
{
public:
    Dispatcher(DispatcherSettings settings, std::unique_ptr<RoutingPolicy> policy);
    ~Dispatcher() = default;
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    /// Takes one message. Whatever is due at @p now is decided first, so a late message never revives a request whose deadline has passed.
    std::vector<DispatchAction> handle(TimePoint now, const DispatchInput &input);

    /// Does everything that is due. To be called at nextDue() at the latest.
    std::vector<DispatchAction> advance(TimePoint now);

    /// May be earlier than the next action, but never later.
    [[nodiscard]] std::optional<TimePoint> nextDue() const;

    /// Counters, queue and active requests for operators.
    [[nodiscard]] boost::json::object dumpState(TimePoint now) const;

    /// The course of an active request or of one of the last finished ones.
    [[nodiscard]] std::optional<boost::json::object> explain(const RequestId &request, TimePoint now) const;

    /// Whether the request still needs its allocations.
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
