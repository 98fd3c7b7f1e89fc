#include "dispatch/dispatcher.h"

#include <boost/json/array.hpp>

#include <algorithm>
#include <type_traits>
#include <utility>

namespace Lentillock
{

namespace
{

// A request that fails during a placement pass can free capacity for another one. Further passes are deferred to the next call.
constexpr int MaxPlacementPasses = 3;

/// Requests that could not be placed in one placement pass. Requests for the same endpoints that are at least as long are skipped in that pass.
class BlockedRequests
{
public:
    [[nodiscard]] bool covers(const RequestSpec &spec) const
    {
        const auto found = shortest_.find(key(spec));
        return found != shortest_.end() && spec.promptTokens >= found->second;
    }

    void add(const RequestSpec &spec)
    {
        const auto [found, inserted] = shortest_.try_emplace(key(spec), spec.promptTokens);
        found->second = std::min(found->second, spec.promptTokens);
    }

private:
    static std::pair<RequestKind, std::string> key(const RequestSpec &spec)
    {
        return {spec.kind, spec.kind == RequestKind::Completion ? spec.model.value() : spec.path};
    }

    std::map<std::pair<RequestKind, std::string>, std::uint64_t> shortest_;
};

boost::json::object toJson(const DispatchCounters &counters)
{
    return {{"requests", counters.requests},
            {"succeeded", counters.succeeded},
            {"failedNotRun", counters.failedNotRun},
            {"failedUnknown", counters.failedUnknown},
            {"attempts", counters.attempts},
            {"retries", counters.retries},
            {"retriesRefused", counters.retriesRefused},
            {"continuations", counters.continuations},
            {"probes", counters.probes},
            {"resumes", counters.resumes},
            {"groups", counters.groups},
            {"groupsRefused", counters.groupsRefused},
            {"foreignMessages", counters.foreignMessages},
            {"repeatedChunks", counters.repeatedChunks},
            {"overlappingChunks", counters.overlappingChunks},
            {"chunksAhead", counters.chunksAhead},
            {"malformedChunks", counters.malformedChunks},
            {"repeatedArrivals", counters.repeatedArrivals},
            {"lateGrants", counters.lateGrants}};
}

}

Dispatcher::Dispatcher(DispatcherSettings settings, std::unique_ptr<RoutingPolicy> policy)
    : context_(std::move(settings), std::move(policy))
    , finishedRequests_(context_.settings.maxFinishedTraces)
{
}

std::vector<DispatchAction> Dispatcher::handle(TimePoint now, const DispatchInput &input)
{
    handleExpiredTimers(now);
    std::visit([this, now](const auto &message) { process(now, message); }, input);
    return takeActions(now);
}

std::vector<DispatchAction> Dispatcher::advance(TimePoint now)
{
    handleExpiredTimers(now);
    return takeActions(now);
}

std::optional<TimePoint> Dispatcher::nextDue() const
{
    std::optional<TimePoint> due = timers_.next();
    if (context_.queue.size() > 0) {
        const TimePoint placementDue = context_.placementPending ? lastPlacementAt_ : lastPlacementAt_ + context_.settings.queueRetryInterval;
        due = due ? std::min(*due, placementDue) : placementDue;
    }
    return due;
}

boost::json::object Dispatcher::dumpState(TimePoint now) const
{
    boost::json::array requests;
    for (const auto &[id, request] : requests_) {
        requests.push_back(request->toJson());
    }
    return {{"draining", draining_},
            {"viewExpired", context_.chooser.isViewExpired(now)},
            {"queued", context_.queue.size()},
            {"abandonedReservations", context_.abandonedReservations.size()},
            {"fleetRetryCredit", context_.retryBudget.fleetCredit()},
            {"counters", toJson(context_.counters)},
            {"requests", std::move(requests)}};
}

std::optional<boost::json::object> Dispatcher::explain(const RequestId &request, TimePoint now) const
{
    if (const auto active = requests_.find(request); active != requests_.end()) {
        boost::json::object result = active->second->toJson();
        result["remainingMs"] = std::chrono::duration_cast<milliseconds>(active->second->spec().deadline - now).count();
        return result;
    }
    const RequestTrace *trace = finishedRequests_.find(request);
    if (trace == nullptr) {
        return std::nullopt;
    }
    boost::json::object result = trace->toJson();
    result["state"] = "done";
    return result;
}

bool Dispatcher::isActive(const RequestId &request) const
{
    return requests_.contains(request);
}

bool Dispatcher::isIdle() const
{
    return requests_.empty();
}

void Dispatcher::process(TimePoint now, const RequestArrived &message)
{
    const auto [request, inserted] = requests_.try_emplace(message.spec->id);
    if (!inserted) {
        context_.counters.repeatedArrivals += 1;
        return;
    }
    context_.counters.requests += 1;
    request->second = std::make_unique<RequestController>(context_, message.spec, now);
    const bool placementWasPending = context_.placementPending;
    if (draining_) {
        request->second->refuse(now, Failures::draining());
    } else if (context_.chooser.isViewExpired(now)) {
        request->second->refuse(now, Failures::viewExpired());
    } else if (const auto retryAfter = context_.workspaceLimits.admit(now, message.spec->workspace, message.spec->promptTokens + message.spec->maxTokens)) {
        request->second->refuse(now, Failures::rateLimited(*retryAfter));
    } else {
        request->second->admit(now);
        context_.placementPending = placementWasPending || context_.queue.size() <= context_.settings.maxQueueForImmediatePlacement;
    }
    updateRequest(request);
}

void Dispatcher::process(TimePoint now, const AllocationAnswered &message)
{
    if (const RequestId *request = findRequest(message.allocation)) {
        forward(now, RequestId(*request), message);
    } else if (const std::optional<ReleaseAllocation> release = context_.abandonedReservations.takeRelease(message)) {
        context_.counters.lateGrants += 1;
        context_.actions.emplace_back(*release);
    } else {
        context_.counters.foreignMessages += 1;
    }
}

void Dispatcher::process(TimePoint now, const EndpointProbed &message)
{
    context_.chooser.endpointProbed(now, message);
    context_.placementPending = true;
    const std::set<RequestId> prefilling = context_.prefillingRequests;
    for (const RequestId &request : prefilling) {
        forward(now, request, message);
    }
}

void Dispatcher::process(TimePoint now, const ViewChanged &message)
{
    if (message.view != nullptr) {
        const ServingViewPtr previous = context_.chooser.fleet().view();
        context_.chooser.viewChanged(message.view);
        if (message.view->document != nullptr && (previous == nullptr || previous->document != message.view->document)) {
            context_.workspaceLimits.setWorkspaces(message.view->document->workspaces);
        }
        updateLimits(now);
        context_.placementPending = true;
    }
}

void Dispatcher::process(TimePoint now, const ViewConfirmed & /*message*/)
{
    context_.chooser.viewConfirmed(now);
    updateLimits(now);
}

void Dispatcher::process(TimePoint /*now*/, const DrainStarted & /*message*/)
{
    draining_ = true;
}

void Dispatcher::process(TimePoint now, const AbortAll & /*message*/)
{
    draining_ = true;
    for (auto request = requests_.begin(); request != requests_.end();) {
        const auto current = request++;
        current->second->abort(now);
        updateRequest(current);
    }
}

template<typename Message>
void Dispatcher::process(TimePoint now, const Message &message)
{
    if constexpr (std::is_same_v<Message, CallerDisconnected> || std::is_same_v<Message, ClaimDecided>) {
        forward(now, message.request, message);
    } else if constexpr (std::is_same_v<Message, PrefillAnswered>) {
        const RequestId *request = findRequest(message.allocation);
        forward(now, request == nullptr ? RequestId() : *request, message);
    } else {
        const RequestId *request = findRequest(message.attempt);
        forward(now, request == nullptr ? RequestId() : *request, message);
    }
}

template<typename Message>
void Dispatcher::forward(TimePoint now, const RequestId &request, const Message &message)
{
    const auto found = requests_.find(request);
    if (found == requests_.end()) {
        context_.counters.foreignMessages += 1;
        return;
    }
    found->second->handle(now, message);
    updateRequest(found);
}

const RequestId *Dispatcher::findRequest(const AttemptId &attempt) const
{
    const auto found = context_.attempts.find(attempt);
    return found == context_.attempts.end() ? nullptr : &found->second;
}

const RequestId *Dispatcher::findRequest(const AllocationId &allocation) const
{
    const auto found = context_.allocations.find(allocation);
    return found == context_.allocations.end() ? nullptr : &found->second;
}

void Dispatcher::updateLimits(TimePoint now)
{
    const ServingViewPtr &view = context_.chooser.fleet().view();
    if (view == nullptr) {
        return;
    }
    std::vector<VmId> vms;
    vms.reserve(view->members.size());
    for (const MemberState &member : view->members) {
        vms.push_back(member.id);
    }
    context_.workspaceLimits.setExpectedVms(vms.size());
    context_.workspaceLimits.setVms(now, vms);
}

void Dispatcher::handleExpiredTimers(TimePoint now)
{
    context_.abandonedReservations.removeExpired(now);
    for (const RequestId &id : timers_.takeExpired(now)) {
        const auto request = requests_.find(id);
        request->second->advance(now);
        updateRequest(request);
    }
}

void Dispatcher::placeQueuedRequests(TimePoint now)
{
    for (int pass = 0; pass < MaxPlacementPasses && context_.placementPending && context_.queue.size() > 0; ++pass) {
        context_.placementPending = false;
        lastPlacementAt_ = now;
        runPlacementPass(now);
    }
}

void Dispatcher::runPlacementPass(TimePoint now)
{
    BlockedRequests blocked;
    for (const RequestId &id : context_.queue.order(now)) {
        const auto request = requests_.find(id);
        if (request == requests_.end() || !request->second->isReadyToPlace(now)) {
            continue;
        }
        RequestController &controller = *request->second;
        // A request that excludes some endpoints does not predict whether requests without exclusions can be placed.
        const bool isUnrestricted = !controller.hasFailedEndpoints();
        if (isUnrestricted && blocked.covers(controller.spec())) {
            continue;
        }
        controller.place(now);
        if (isUnrestricted && controller.isReadyToPlace(now)) {
            blocked.add(controller.spec());
        }
        updateRequest(request);
    }
}

void Dispatcher::updateRequest(Requests::iterator request)
{
    if (!request->second->isDone()) {
        timers_.set(request->first, request->second->nextDue());
        return;
    }
    timers_.remove(request->first);
    finishedRequests_.add(request->second->takeTrace());
    requests_.erase(request);
}

std::vector<DispatchAction> Dispatcher::takeActions(TimePoint now)
{
    context_.placementPending = context_.placementPending || now >= lastPlacementAt_ + context_.settings.queueRetryInterval;
    placeQueuedRequests(now);
    return std::exchange(context_.actions, {});
}

}
