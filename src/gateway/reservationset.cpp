#include "gateway/reservationset.h"

#include "base/log.h"

#include <algorithm>

namespace Lentillock
{

namespace
{

/// Time for which memory stays reserved without a renewal. Short, so that the memory of a VM that died is free again soon.
constexpr milliseconds HoldTime{3500};
constexpr Duration RenewPeriod = 1s;
constexpr Duration OrderTimeout = 400ms;

/// State of one order on its channel.
struct OrderCall {
    HttpHead head;
    bool done = false;
};

}

void sendReservationRequest(GatewayContext &context, const EndpointRecord &endpoint, std::string request, std::function<void(bool granted)> done)
{
    const TimePoint now = monotonicNow();
    const HttpClientConnectionPointer connection = context.connectionPool.acquire(endpoint, ConnectionReuse::Allowed, now);
    auto call = std::make_shared<OrderCall>();
    const auto complete = [call, done = std::move(done)](bool granted) {
        if (!std::exchange(call->done, true)) {
            done(granted);
        }
    };
    const auto timer = context.timers.subscribeOnce(now + OrderTimeout, [connection, complete](TimePoint) {
        connection->close();
        complete(false);
    });
    HttpClientConnection::Handlers handlers;
    handlers.onHead = [call](const HttpHead &head) {
        call->head = head;
        return ResponseDisposition::Accept;
    };
    handlers.onBody = [](const std::string &) {};
    handlers.onFinished = [&context, connection, call, complete, endpoint, timer] {
        context.timers.cancel(timer);
        context.connectionPool.release(endpoint, connection, context.maxIdleConnections(endpoint), monotonicNow());
        complete(context.wire.isReserved(call->head));
    };
    handlers.onFailed = [&context, complete, timer](ExchangeFailure) {
        context.timers.cancel(timer);
        complete(false);
    };
    connection->exchange(std::move(request), std::move(handlers));
}

ReservationSet::ReservationSet(GatewayContext &context, std::string requestName)
    : context_(context)
    , requestName_(std::move(requestName))
    , progress_(std::make_shared<Progress>())
{
}

ReservationSet::~ReservationSet()
{
    progress_->completion = {};
    context_.timers.cancel(renewTimer_);
    for (const Part &part : parts_) {
        // An order without an answer may have been carried out, so every part is released.
        sendReservationRequest(context_, part.endpoint, context_.wire.releaseRequest(part.endpoint.address, part.id), [](bool) {});
    }
}

void ReservationSet::acquire(const std::vector<const EndpointRecord *> &endpoints, std::uint64_t tokens, Completion completion)
{
    tokens_ = tokens;
    progress_->pending = endpoints.size();
    progress_->completion = std::move(completion);
    for (const EndpointRecord *endpoint : endpoints) {
        parts_.push_back({.endpoint = *endpoint, .id = requestName_ + '-' + std::to_string(parts_.size())});
    }
    for (const Part &part : parts_) {
        order(part, [progress = progress_, id = part.endpoint.id](bool granted) {
            if (!granted) {
                progress->refused = true;
                progress->refusedBy = id;
            }
            if (--progress->pending == 0 && progress->completion) {
                const Completion complete = std::exchange(progress->completion, {});
                complete(!progress->refused);
            }
        });
    }
    renewTimer_ = context_.timers.subscribePeriodic(monotonicNow() + RenewPeriod, RenewPeriod, [this](TimePoint) { renew(); });
}

std::vector<Helper> ReservationSet::helpers() const
{
    std::vector<Helper> result;
    std::transform(parts_.begin(), parts_.end(), std::back_inserter(result), [](const Part &part) { return Helper{part.endpoint.address, part.id}; });
    return result;
}

const EndpointId &ReservationSet::refusedBy() const
{
    return progress_->refusedBy;
}

void ReservationSet::order(const Part &part, std::function<void(bool)> done)
{
    const ReservationRequest order{.id = part.id, .tokens = tokens_, .hold = HoldTime};
    context_.metrics.increment("lentillock_reservation_orders_total");
    sendReservationRequest(context_, part.endpoint, context_.wire.reserveRequest(part.endpoint.address, order), std::move(done));
}

void ReservationSet::renew()
{
    for (const Part &part : parts_) {
        order(part, [name = requestName_, id = part.endpoint.id](bool granted) {
            if (!granted) {
                Log::write(Log::Level::Warning, "reservation-not-renewed", {{"request", name}, {"endpoint", id.value()}});
            }
        });
    }
}

}
