#pragma once

#include "gateway/gatewaycontext.h"

#include <string>

namespace Lentillock
{

/// Applies what endpoints say of themselves in responses: that they leave, or want no requests for a time.
class EndpointStatements
{
public:
    explicit EndpointStatements(GatewayContext &context);

    /// Applies the statements in @p response of @p endpoint to the request @p request.
    void apply(const EndpointRecord &endpoint, const ResponseHead &response, const RequestId &request, TimePoint now);

    /// Whether @p endpoint wants requests. After the time for which it has wanted none, it gets one at a time until it has completed one.
    [[nodiscard]] bool mayReceive(const EndpointId &endpoint, TimePoint now) const;

    /// Time until the first endpoint of @p service wants requests again; zero if one of them does, or if there is none.
    [[nodiscard]] milliseconds timeUntilOpen(const std::string &service, TimePoint now) const;

private:
    GatewayContext &context_;
};

}
