#include "gateway/reservationset.h"

#include "base/log.h"

#include <algorithm>

namespace Lentillock
{

namespace
{

/// Time after which a reservation expires unless it is renewed. Short, so that the reservations of a failed VM are freed soon.
constexpr milliseconds LeaseTime{3500};
constexpr Duration RenewInterval = 1s;
constexpr Duration RequestTimeout = 400ms;

/// State of one reservation request.
struct RequestState {
    HttpHead head;
    bool done = false;
};

}

void sendReservationRequest(GatewayContext &context, const EndpointRecord &endpoint, std::string request, std::function<void(bool granted)> done)
{
    const TimePoint now = monotonicNow();
    const HttpClientConnectionPointer connection = context.connectionPool.acquire(endpoint, ConnectionReuse::Allowed, now);
    auto state = std::make_shared<RequestState>();
    const auto complete = [state, done = std::move(done)](bool granted) {
        if (!std::exchange(state->done, true)) {
            done(granted);
        }
    };
    const auto timer = context.timers.scheduleOnce(now + RequestTimeout, [connection, complete](TimePoint) {
        connection->close();
        complete(false);
    });
    HttpClientConnection::Handlers handlers;
    handlers.onHead = [state](const HttpHead &head) {
        state->head = head;
        return ResponseDisposition::Accept;
    };
    handlers.onBody = [](const std::string &) {};
    handlers.onFinished = [&context, connection, state, complete, endpoint, timer] {
        context.timers.cancel(timer);
        context.connectionPool.release(endpoint, connection, context.maxIdleConnections(endpoint), monotonicNow());
        complete(context.wire.isReserved(state->head));
    };
    handlers.onFailed = [&context, complete, timer](ExchangeFailure) {
        context.timers.cancel(timer);
        complete(false);
    };
    connection->exchange(std::move(request), std::move(handlers));
}

ReservationSet::ReservationSet(GatewayContext &context, std::string attemptId)
    : context_(context)
    , attemptId_(std::move(attemptId))
    , pendingResult_(std::make_shared<PendingResult>())
{
}

ReservationSet::~ReservationSet()
{
    pendingResult_->completion = {};
    context_.timers.cancel(renewTimer_);
    for (const Reservation &reservation : reservations_) {
        // A request without a response may have been executed, so every reservation is released.
        sendReservationRequest(context_, reservation.endpoint, context_.wire.releaseRequest(reservation.endpoint.address, reservation.id), [](bool) {});
    }
}

void ReservationSet::acquire(const std::vector<const EndpointRecord *> &endpoints, std::uint64_t tokens, Completion completion)
{
    tokens_ = tokens;
    pendingResult_->pending = endpoints.size();
    pendingResult_->completion = std::move(completion);
    for (const EndpointRecord *endpoint : endpoints) {
        reservations_.push_back({.endpoint = *endpoint, .id = attemptId_ + '-' + std::to_string(reservations_.size())});
    }
    for (const Reservation &reservation : reservations_) {
        requestReservation(reservation, [pendingResult = pendingResult_, id = reservation.endpoint.id](bool granted) {
            if (!granted) {
                pendingResult->rejected = true;
                pendingResult->rejectedBy = id;
            }
            if (--pendingResult->pending == 0 && pendingResult->completion) {
                const Completion complete = std::exchange(pendingResult->completion, {});
                complete(!pendingResult->rejected);
            }
        });
    }
    renewTimer_ = context_.timers.schedulePeriodic(monotonicNow() + RenewInterval, RenewInterval, [this](TimePoint) { renewReservations(); });
}

std::vector<Helper> ReservationSet::helpers() const
{
    std::vector<Helper> result;
    std::transform(reservations_.begin(), reservations_.end(), std::back_inserter(result), [](const Reservation &reservation) {
        return Helper{reservation.endpoint.address, reservation.id};
    });
    return result;
}

const EndpointId &ReservationSet::rejectedBy() const
{
    return pendingResult_->rejectedBy;
}

void ReservationSet::requestReservation(const Reservation &reservation, std::function<void(bool)> done)
{
    const ReservationRequest request{.id = reservation.id, .tokens = tokens_, .leaseTime = LeaseTime};
    context_.metrics.increment("lentillock_reservation_orders_total");
    sendReservationRequest(context_, reservation.endpoint, context_.wire.reserveRequest(reservation.endpoint.address, request), std::move(done));
}

void ReservationSet::renewReservations()
{
    for (const Reservation &reservation : reservations_) {
        requestReservation(reservation, [name = attemptId_, id = reservation.endpoint.id](bool granted) {
            if (!granted) {
                Log::write(Log::Level::Warning, "reservation-not-renewed", {{"request", name}, {"endpoint", id.value()}});
            }
        });
    }
}

}
