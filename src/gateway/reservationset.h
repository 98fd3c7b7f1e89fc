#pragma once

#include "gateway/gatewaycontext.h"
#include "gateway/placement.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Lentillock
{

/// Memory reservations of one prompt at its helper endpoints. Renewed periodically and released on destruction.
class ReservationSet
{
public:
    using Completion = std::function<void(bool granted)>;

    ReservationSet(GatewayContext &context, std::string attemptId);
    ~ReservationSet();
    ReservationSet(const ReservationSet &) = delete;
    ReservationSet &operator=(const ReservationSet &) = delete;

    /// Reserves memory for @p tokens tokens at each of @p endpoints. @p completion is called once, with true if all reservations were granted.
    void acquire(const std::vector<const EndpointRecord *> &endpoints, std::uint64_t tokens, Completion completion);

    /// Returns the helpers with their reservation IDs, to be listed in the request to the endpoint.
    [[nodiscard]] std::vector<Helper> helpers() const;

    /// Returns an endpoint that rejected its reservation or did not respond; empty if there is none.
    [[nodiscard]] const EndpointId &rejectedBy() const;

private:
    struct Reservation {
        EndpointRecord endpoint;
        std::string id;
    };
    /// Shared with the response handlers, which may outlive the set.
    struct PendingResult {
        std::size_t pending = 0;
        bool rejected = false;
        EndpointId rejectedBy;
        Completion completion;
    };

    void requestReservation(const Reservation &reservation, std::function<void(bool)> done);
    void renewReservations();

    GatewayContext &context_;
    std::string attemptId_;
    std::uint64_t tokens_ = 0;
    std::vector<Reservation> reservations_;
    std::shared_ptr<PendingResult> pendingResult_;
    TimerService::TimerId renewTimer_ = 0;
};

/// Sends a reservation or release request to an endpoint and calls @p done with its result. Fails after a fixed timeout.
void sendReservationRequest(GatewayContext &context, const EndpointRecord &endpoint, std::string request, std::function<void(bool granted)> done);

}
