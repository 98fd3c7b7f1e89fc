#include "dispatch/dispatcher.h"

#include "dispatch/dispatcherstate.h"

#include <algorithm>
#include <utility>

namespace Lentillock
{

Dispatcher::Dispatcher(DispatcherSettings settings, std::unique_ptr<RoutingPolicy> policy)
    : state_(std::make_unique<DispatcherState>(std::move(settings), std::move(policy)))
{
}

Dispatcher::~Dispatcher() = default;

std::vector<DispatchAction> Dispatcher::handle(TimePoint now, const DispatchInput &input)
{
    state_->expire(now);
    std::visit([&](const auto &message) { state_->handle(now, message); }, input);
    return std::exchange(state_->actions_, {});
}

std::vector<DispatchAction> Dispatcher::advance(TimePoint now)
{
    state_->expire(now);
    return std::exchange(state_->actions_, {});
}

std::optional<TimePoint> Dispatcher::nextDue() const
{
    std::optional<TimePoint> due;
    for (const auto &[id, request] : state_->requests_) {
        due = due ? std::min(*due, request.spec->deadline) : request.spec->deadline;
    }
    return due;
}

boost::json::object Dispatcher::dumpState(TimePoint /*now*/) const
{
    return {{"active", state_->requests_.size()}};
}

std::optional<boost::json::object> Dispatcher::explain(const RequestId &request, TimePoint /*now*/) const
{
    if (!isActive(request)) {
        return std::nullopt;
    }
    return boost::json::object{{"request", request.value()}, {"state", "streaming"}};
}

bool Dispatcher::isActive(const RequestId &request) const
{
    return state_->requests_.contains(request);
}

bool Dispatcher::isIdle() const
{
    return state_->requests_.empty();
}

}
