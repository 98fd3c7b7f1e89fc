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

/// Divides the endpoints of a model over the work classes, so that short work need not share an engine with long prefills.
///
/// All entries with the same document and similar demand come to nearly the same division. Long work gets whole zones as far as
/// possible, since the endpoints of a group have to be in one zone.
class EndpointPartition
{
public:
    EndpointPartition() = default;
    EndpointPartition(const std::vector<FleetState::Candidate> &candidates, const WorkDemand &demand, const Objectives &objectives);

    /// The class for which the endpoint is kept. Endpoints that were not among the candidates belong to the medium class.
    [[nodiscard]] WorkClass home(const Endpoint *endpoint) const;

    /// Whether other entries, whose demand differs a little, may keep the endpoint for short work.
    [[nodiscard]] bool isBuffer(const Endpoint *endpoint) const;

    [[nodiscard]] std::size_t count(WorkClass workClass) const;
    [[nodiscard]] std::size_t size() const;

private:
    void assignCounts(std::size_t endpoints, const WorkDemand &demand, const Objectives &objectives);

    std::array<std::size_t, WorkClasses> counts_{};
    std::unordered_map<const Endpoint *, WorkClass> homes_;
    std::unordered_set<const Endpoint *> buffers_;
};

}
