#include "gateway/endpointstatements.h"

#include "base/log.h"

#include <algorithm>
#include <optional>

namespace Lentillock
{

EndpointStatements::EndpointStatements(GatewayContext &context)
    : context_(context)
{
}

void EndpointStatements::apply(const EndpointRecord &endpoint, const ResponseHead &response, const RequestId &request, TimePoint now)
{
    if (response.isLeaving && context_.directory.markLeaving(endpoint)) {
        context_.metrics.increment("lentillock_endpoint_statements_total", {{"statement", "leaving"}});
        Log::write(Log::Level::Info, "endpoint-says-leaving", {{"endpoint", endpoint.id.value()}, {"request", request.value()}});
        context_.announceLeaving(endpoint);
    }
    const RetryDelay &delay = response.retryDelay;
    if (!delay.rejectedText.empty() && context_.loggedRetryDelays.insert(endpoint.id).second) {
        Log::write(Log::Level::Warning, "retry-after-rejected", {{"endpoint", endpoint.id.value()}, {"value", delay.rejectedText}});
    }
    if (delay.time) {
        const Duration spread = retryDelaySpread(*delay.time, endpoint.id.value() + '@' + context_.settings.vm.value());
        context_.health.recordClosed(endpoint.id, *delay.time, spread, now);
        context_.metrics.increment("lentillock_endpoint_statements_total", {{"statement", "closed"}});
        const auto closedFor = std::chrono::duration_cast<milliseconds>(*delay.time + spread);
        Log::write(Log::Level::Info,
                   "endpoint-closed",
                   {{"endpoint", endpoint.id.value()}, {"request", request.value()}, {"forMs", std::to_string(closedFor.count())}});
    }
}

bool EndpointStatements::mayReceive(const EndpointId &endpoint, TimePoint now) const
{
    if (context_.health.closedUntil(endpoint, now)) {
        return false;
    }
    return !context_.health.isReopening(endpoint, now) || context_.fleetLoad.ownLoad(endpoint, now).requests == 0;
}

milliseconds EndpointStatements::timeUntilOpen(const std::string &service, TimePoint now) const
{
    std::optional<TimePoint> earliest;
    for (const EndpointRecord *endpoint : context_.directory.usable(service)) {
        const auto until = context_.health.closedUntil(endpoint->id, now);
        if (!until) {
            return milliseconds::zero();
        }
        earliest = earliest ? std::min(*earliest, *until) : *until;
    }
    return earliest ? std::chrono::ceil<milliseconds>(*earliest - now) : milliseconds::zero();
}

}
