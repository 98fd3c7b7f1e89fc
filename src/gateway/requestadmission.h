#pragma once

#include "gateway/servingplan.h"
#include "gateway/wireprotocol.h"

#include <optional>
#include <string_view>
#include <variant>

namespace Lentillock
{

/// Route and service of an admitted request.
struct AdmittedRequest {
    const RouteEntry *route = nullptr; ///< Owned by the plan, like the service.
    const ServiceEntry *service = nullptr;
    WorkspaceId workspace; ///< Empty for a public route and if the plan has no workspaces.
};

/// Error response to a request that is rejected before an endpoint is chosen.
struct AdmissionRejection {
    unsigned status = 0;
    std::string_view code;
    std::string_view message;
    bool isRetryable = false; ///< Another VM, or this VM later, may admit the same request.

    auto operator<=>(const AdmissionRejection &) const = default;
};

using AdmissionResult = std::variant<AdmittedRequest, AdmissionRejection>;

/// Decides whether a request is admitted. @p plan is null until the first version is known; @p drainingFor is the time since the stop signal.
AdmissionResult admitRequest(const ServingPlan *plan, const CallerHead &caller, std::string_view path, std::optional<Duration> drainingFor);

}
