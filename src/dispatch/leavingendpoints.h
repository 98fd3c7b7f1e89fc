#pragma once

#include "dispatch/servingview.h"

#include <map>
#include <string>

namespace Lentillock
{

/// Tracks which endpoints are leaving, because a view from another control process may be out of date.
class LeavingEndpoints
{
public:
    void observeView(const ServingView &view);
    void observeLoad(const EndpointId &endpoint, const LoadReport &load);

    /// The endpoint refused work because it is leaving. @p state is its last known state, or null.
    void observeRefusal(const EndpointId &endpoint, const EndpointState *state);

    /// Returns true if the endpoint is leaving in the generation that @p state reports.
    [[nodiscard]] bool isLeaving(const EndpointId &endpoint, const EndpointState *state) const;

private:
    std::map<EndpointId, std::string> generations_; ///< The generation that is leaving; empty if unknown.
};

}
