#include "routing/endpointpartition.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace Lentillock
{

namespace
{

/// Short work is given this many times its share of the work, so that its engines compute prefills only for a small part of the time.
constexpr double ShortHeadroom = 7;
constexpr double MinShortHeadroom = 2;
constexpr double MaxShortHeadroom = 14;
constexpr double MediumHeadroom = 1.3;
/// One endpoint, and one more for each so many endpoints of the short class, is a buffer.
constexpr std::size_t BufferDivisor = 2;

double shortHeadroom(const Objectives &objectives)
{
    const double ratio = objectives.shortSlowdown / std::max(objectives.longFirstToken, 1e-3);
    return std::clamp(ShortHeadroom * std::pow(ratio, 0.25), MinShortHeadroom, MaxShortHeadroom);
}

/// The endpoints zone by zone, the zone with the most endpoints first.
std::vector<const Endpoint *> orderedByZone(const std::vector<FleetState::Candidate> &candidates)
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
    assignCounts(candidates.size(), demand, objectives);
    const std::size_t endpoints = candidates.size();
    std::size_t index = 0;
    for (const Endpoint *endpoint : orderedByZone(candidates)) {
        const bool isLong = index < count(WorkClass::Long);
        const bool isMedium = index < count(WorkClass::Long) + count(WorkClass::Medium);
        if (isMedium && index + 1 + count(WorkClass::Short) / BufferDivisor >= endpoints - count(WorkClass::Short)) {
            buffers_.insert(endpoint);
        }
        homes_[endpoint] = isLong ? WorkClass::Long : isMedium ? WorkClass::Medium : WorkClass::Short;
        ++index;
    }
}

WorkClass EndpointPartition::home(const Endpoint *endpoint) const
{
    const auto found = homes_.find(endpoint);
    return found == homes_.end() ? WorkClass::Medium : found->second;
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
    return homes_.size();
}

void EndpointPartition::assignCounts(std::size_t endpoints, const WorkDemand &demand, const Objectives &objectives)
{
    const std::array<double, WorkClasses> headroom{shortHeadroom(objectives), MediumHeadroom, 1};
    std::array<double, WorkClasses> weights{};
    double sum = 0;
    for (std::size_t i = 0; i < WorkClasses; ++i) {
        weights.at(i) = demand.share(static_cast<WorkClass>(i)) * headroom.at(i);
        sum += weights.at(i);
    }
    std::size_t left = endpoints;
    // Every class with work gets an endpoint as long as there are any; the long class gets what remains.
    for (std::size_t i = 0; i + 1 < WorkClasses; ++i) {
        const auto wanted = static_cast<std::size_t>(std::lround(static_cast<double>(endpoints) * weights.at(i) / sum));
        counts_.at(i) = std::min(left, weights.at(i) > 0 ? std::max<std::size_t>(wanted, 1) : 0);
        left -= counts_.at(i);
    }
    counts_.at(WorkClasses - 1) = left;
}

}
