#pragma once

#include "gateway/gatewaycontext.h"
#include "gateway/placement.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Lentillock
{

/// Memory that one prompt has reserved at its helpers. Renewed while the set lives; released when it ends.
class ReservationSet
{
public:
    using Completion = std::function<void(bool granted)>;

    ReservationSet(GatewayContext &context, std::string requestName);
    ~ReservationSet();
    ReservationSet(const ReservationSet &) = delete;
    ReservationSet &operator=(const ReservationSet &) = delete;

    /// Reserves @p tokens at each of @p endpoints. @p completion is called once, with true only if all were granted.
    void acquire(const std::vector<const EndpointRecord *> &endpoints, std::uint64_t tokens, Completion completion);

    /// The helpers with their reservations, for the request.
    [[nodiscard]] std::vector<Helper> helpers() const;

    /// The endpoint that refused or did not answer; empty if none did.
    [[nodiscard]] const EndpointId &refusedBy() const;

private:
    struct Part {
        EndpointRecord endpoint;
        std::string id;
    };
    /// Outlives the set while answers are on their way.
    struct Progress {
        std::size_t pending = 0;
        bool refused = false;
        EndpointId refusedBy;
        Completion completion;
    };

    void order(const Part &part, std::function<void(bool)> done);
    void renew();

    GatewayContext &context_;
    std::string requestName_;
    std::uint64_t tokens_ = 0;
    std::vector<Part> parts_;
    std::shared_ptr<Progress> progress_;
    TimerService::Subscription renewTimer_ = 0;
};

/// Sends one order to an endpoint and calls @p done with whether it was granted. Gives up after a bounded time.
void sendReservationRequest(GatewayContext &context, const EndpointRecord &endpoint, std::string request, std::function<void(bool granted)> done);

}
