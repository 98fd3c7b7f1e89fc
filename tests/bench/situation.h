#pragma once

#include "bench/benchresult.h"
#include "bench/workload.h"
#include "config/servingdocument.h"
#include "routing/routingpolicy.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Lentillock
{

/// Creates the routing policy of one entry.
using PolicyFactory = std::function<std::unique_ptr<RoutingPolicy>(const ServingDocument &document, std::uint64_t seed)>;

struct BenchPolicy {
    std::string name;
    Objectives objectives;
    PolicyFactory make;
    bool refusesOverload = false;
};

/// Load and injected faults of a simulation run.
struct Situation {
    std::string name;
    double load = 0.8; ///< Offered load, as a fraction of the capacity of the larger model's engines.
    Duration reportLag = 200ms;
    std::string deadEndpoint;
    std::string deadZone;
};

struct SituationResult {
    std::vector<BenchResult> requests; ///< Excludes requests that arrive during the warm-up.
    Duration measured = Duration::zero();
    double busyShare = 0;
};

SituationResult runSituation(const Situation &situation, const WorkloadProfile &profile, const BenchPolicy &policy, std::uint64_t seed, Duration length);

}
