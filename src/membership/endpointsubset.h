#pragma once

#include "base/identifier.h"
#include "config/servingdocument.h"

#include <vector>

namespace Lentillock
{

/// Limits on the endpoints that one control process observes.
constexpr std::size_t MaxObservedPerModelAndZone = 32;
constexpr std::size_t MaxObservedPerModel = 300;

/// Selects the endpoints that the control process of @p vm observes, in order of identifier.
///
/// Rendezvous hashing keeps the selection stable when endpoints are added or removed and distributes the observers evenly. Services with the same path
/// prefix count as one model.
std::vector<Endpoint> endpointSubset(const VmId &vm, const std::vector<Endpoint> &endpoints);

}
