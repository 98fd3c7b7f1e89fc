#pragma once

#include "control/claimshardtask.h"
#include "control/configstate.h"
#include "control/fleetsnapshot.h"

#include <cstdint>
#include <map>
#include <string>

namespace Lentillock
{

/// The state of the process as JSON. @p part selects one top-level member; empty for all. "null" for an unknown part.
std::string stateDump(const FleetSnapshot &fleet, const ConfigState &config, const std::map<std::uint32_t, ClaimShardStats> &claims, const std::string &part);

}
