#include "routing/endpointpartition.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace Lentillock
{

namespace
{

/// The short class gets endpoints for this multiple of its share of the work, so that its engines spend little of their time on prefills.
constexpr double ShortHeadroom = 7;
constexpr double MinShortHeadroom = 2;
constexpr double MaxShortHeadroom = 14;
constexpr double MediumHeadroom = 1.3;
/// There is one buffer endpoint, plus one more per this many endpoints of the short class.
constexpr std::size_t BufferDivisor = 2;

double shortHeadroom(const Objectives &objectives)
{
    const double ratio = objectives.shortSlowdown / std::max(objectives.longFirstToken, 1e-3);
    return std::clamp(ShortHeadroom * std::pow(ratio, 0.25), MinShortHeadroom, MaxShortHeadroom);
}

/// Returns the endpoints grouped by zone, the zone with the most endpoints first.
std::vector<const Endpoint *> groupedByZone(const std::vector<FleetState::Candidate> &candidates)
{
    std::map<ZoneId, std::vector<const Endpoint *>> zones;
    for (const FleetState::Candidate &candidate : candidates) {
        zones[candidate.endpoint->zone].push_back(candidate.endpoint);
    }
    std::vector<const std::vector<const Endpoint *> *> bySize;
    bySize.reserve(zones.size());
    for (const auto &[zone, endpoints] : zones) {
        bySize.push_back(&endpoints);
    }
    std::stable_sort(bySize.begin(), bySize.end(), [](const auto *left, const auto *right) { return left->size() > right->size(); });
    std::vector<const Endpoint *> ordered;
    for (const auto *endpoints : bySize) {
        ordered.insert(ordered.end(), endpoints->begin(), endpoints->end());
    }
    return ordered;
}

}

EndpointPartition::EndpointPartition(const std::vector<FleetState::Candidate> &candidates, const WorkDemand &demand, const Objectives &objectives)
{
    divideEndpoints(candidates.size(), demand, objectives);
    const std::size_t endpoints = candidates.size();
    std::size_t index = 0;
    for (const Endpoint *endpoint : groupedByZone(candidates)) {
        const bool isLong = index < count(WorkClass::Long);
        const bool isMedium = index < count(WorkClass::Long) + count(WorkClass::Medium);
        if (isMedium && index + 1 + count(WorkClass::Short) / BufferDivisor >= endpoints - count(WorkClass::Short)) {
            buffers_.insert(endpoint);
        }
        assignedClasses_[endpoint] = isLong ? WorkClass::Long : isMedium ? WorkClass::Medium : WorkClass::Short;
        ++index;
    }
}

WorkClass EndpointPartition::assignedClass(const Endpoint *endpoint) const
{
    const auto found = assignedClasses_.find(endpoint);
    return found == assignedClasses_.end() ? WorkClass::Medium : found->second;
}

bool EndpointPartition::isBuffer(const Endpoint *endpoint) const
{
    return buffers_.contains(endpoint);
}

std::size_t EndpointPartition::count(WorkClass workClass) const
{
    return counts_.at(static_cast<std::size_t>(workClass));
}

std::size_t EndpointPartition::size() const
{
    return assignedClasses_.size();
}

void EndpointPartition::divideEndpoints(std::size_t endpoints, const WorkDemand &demand, const Objectives &objectives)
{
    const std::array<double, WorkClassCount> headroom{shortHeadroom(objectives), MediumHeadroom, 1};
    std::array<double, WorkClassCount> weights{};
    double sum = 0;
    for (std::size_t i = 0; i < WorkClassCount; ++i) {
        weights.at(i) = demand.share(static_cast<WorkClass>(i)) * headroom.at(i);
        sum += weights.at(i);
    }
    std::size_t remaining = endpoints;
    // Every class with work gets at least one endpoint while there are any left; the long class gets the rest.
    for (std::size_t i = 0; i + 1 < WorkClassCount; ++i) {
        const auto wanted = static_cast<std::size_t>(std::lround(static_cast<double>(endpoints) * weights.at(i) / sum));
        counts_.at(i) = std::min(remaining, weights.at(i) > 0 ? std::max<std::size_t>(wanted, 1) : 0);
        remaining -= counts_.at(i);
    }
    counts_.at(WorkClassCount - 1) = remaining;
}

}
