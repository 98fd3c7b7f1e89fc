#include "membership/endpointsubset.h"

#include "base/hash.h"

#include <algorithm>
#include <map>
#include <utility>

namespace Lentillock
{

namespace
{

struct ScoredEndpoint {
    std::uint64_t score = 0;
    const Endpoint *endpoint = nullptr;
};

void keepHighestScores(std::vector<ScoredEndpoint> &scored, std::size_t count)
{
    std::ranges::sort(scored, [](const ScoredEndpoint &left, const ScoredEndpoint &right) {
        return left.score != right.score ? left.score > right.score : left.endpoint->id < right.endpoint->id;
    });
    scored.resize(std::min(scored.size(), count));
}

}

std::vector<Endpoint> endpointSubset(const VmId &vm, const std::vector<Endpoint> &endpoints)
{
    std::map<std::pair<std::string, ZoneId>, std::vector<ScoredEndpoint>> byZone;
    for (const Endpoint &endpoint : endpoints) {
        const std::string model = endpoint.kind == EndpointKind::Engine ? endpoint.model.value() : endpoint.pathPrefix;
        byZone[{model, endpoint.zone}].push_back({rendezvousScore(vm.value(), endpoint.id.value()), &endpoint});
    }
    std::map<std::string, std::vector<ScoredEndpoint>> byModel;
    for (auto &[group, scored] : byZone) {
        keepHighestScores(scored, MaxObservedPerModelAndZone);
        std::ranges::copy(scored, std::back_inserter(byModel[group.first]));
    }
    std::vector<Endpoint> subset;
    for (auto &[model, scored] : byModel) {
        keepHighestScores(scored, MaxObservedPerModel);
        for (const ScoredEndpoint &kept : scored) {
            subset.push_back(*kept.endpoint);
        }
    }
    std::ranges::sort(subset, {}, &Endpoint::id);
    return subset;
}

}
