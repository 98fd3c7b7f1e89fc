#pragma once

#include "gateway/servingplan.h"
#include "gateway/wireprotocol.h"

#include <optional>
#include <string_view>
#include <variant>

namespace Lentillock
{

/// Where the plan lets a request go.
struct AdmittedRequest {
    const RouteEntry *route = nullptr; ///< Belongs to the plan, as the service does.
    const ServiceEntry *service = nullptr;
    WorkspaceId workspace; ///< Empty on a public route and without workspaces.
};

/// Why a request is refused before it is sent anywhere.
struct AdmissionRefusal {
    unsigned status = 0;
    std::string_view code;
    std::string_view message;
    bool isRetryable = false; ///< Another VM, or this one later, may admit the same request.

    auto operator<=>(const AdmissionRefusal &) const = default;
};

using AdmissionResult = std::variant<AdmittedRequest, AdmissionRefusal>;

/// Decides whether a request is admitted. @p plan is null until a version is known, @p drainingFor is the time since the stop signal.
AdmissionResult admitRequest(const ServingPlan *plan, const CallerHead &caller, std::string_view path, std::optional<Duration> drainingFor);

}
