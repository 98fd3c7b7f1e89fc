#pragma once

#include "config/servingdocument.h"
#include "routing/fleetstate.h"
#include "routing/workclass.h"
#include "routing/workdemand.h"

#include <array>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Lentillock
{

/// Assigns each endpoint of a model to a work class, so that short requests need not share an engine with long prefills.
///
/// Entries with the same serving document and similar demand compute nearly the same assignment. The long class gets whole zones where
/// possible, since the endpoints of a group must be in one zone.
class EndpointPartition
{
public:
    EndpointPartition() = default;
    EndpointPartition(const std::vector<FleetState::Candidate> &candidates, const WorkDemand &demand, const Objectives &objectives);

    /// Class that the endpoint is assigned to. Endpoints that were not among the candidates belong to the medium class.
    [[nodiscard]] WorkClass assignedClass(const Endpoint *endpoint) const;

    /// Whether other entries, whose demand differs slightly, may assign the endpoint to the short class.
    [[nodiscard]] bool isBuffer(const Endpoint *endpoint) const;

    /// Number of endpoints that are assigned to the class.
    [[nodiscard]] std::size_t count(WorkClass workClass) const;
    [[nodiscard]] std::size_t size() const;

private:
    void divideEndpoints(std::size_t endpoints, const WorkDemand &demand, const Objectives &objectives);

    std::array<std::size_t, WorkClassCount> counts_{};
    std::unordered_map<const Endpoint *, WorkClass> assignedClasses_;
    std::unordered_set<const Endpoint *> buffers_;
};

}
