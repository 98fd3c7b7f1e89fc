#pragma once

#include "base/identifier.h"
#include "config/servingdocument.h"

#include <vector>

namespace Lentillock
{

/// Bounds of the endpoints that one control process observes.
constexpr std::size_t MaxObservedPerModelAndZone = 32;
constexpr std::size_t MaxObservedPerModel = 300;

/// The endpoints that the control process of @p vm observes, in order of identifier.
///
/// Rendezvous hashing keeps the choice when endpoints come and go and spreads the observers evenly. Services count as one model per path prefix.
std::vector<Endpoint> endpointSubset(const VmId &vm, const std::vector<Endpoint> &endpoints);

}
