#pragma once

#include "control/claimshardtask.h"
#include "control/configstate.h"
#include "control/fleetsnapshot.h"

#include <cstdint>
#include <map>
#include <string>

namespace Lentillock
{

/// Returns the state of the process as JSON. @p part selects one top-level member; if it is empty, all are returned. Returns "null" for an unknown
/// part.
std::string stateDump(const FleetSnapshot &fleet, const ConfigState &config, const std::map<std::uint32_t, ClaimShardStats> &claims, const std::string &part);

}
