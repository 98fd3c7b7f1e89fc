#pragma once

#include "dispatch/servingview.h"

#include <map>
#include <string>

namespace Lentillock
{

/// Remembers which endpoints are leaving, because a view from another control process may lag behind.
class LeavingEndpoints
{
public:
    void observeView(const ServingView &view);
    void observeLoad(const EndpointId &endpoint, const LoadReport &load);

    /// The endpoint itself has refused work because it is leaving; @p state is what is known of it, or null.
    void observeRefusal(const EndpointId &endpoint, const EndpointState *state);

    /// Whether the endpoint, in the incarnation that @p state tells of, is leaving.
    [[nodiscard]] bool isLeaving(const EndpointId &endpoint, const EndpointState *state) const;

private:
    std::map<EndpointId, std::string> generations_; ///< Empty generation: not known.
};

}
