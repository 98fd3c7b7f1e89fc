#include "routing/costmodel.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace Lentillock
{

namespace
{

constexpr double FallingWeight = 0.3;
constexpr double RisingWeight = 0.01;
constexpr double SlownessWeight = 0.02;
constexpr double MinSlowness = 0.5;
constexpr double MaxSlowness = 10;

void follow(double &estimate, double observed)
{
    estimate += (observed < estimate ? FallingWeight : RisingWeight) * (observed - estimate);
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

}

CostModel::CostModel()
{
    secondsPerToken_.fill(InitialSecondsPerToken);
}

double CostModel::slowness(const EndpointId &endpoint) const
{
    const auto found = slowness_.find(endpoint);
    return found == slowness_.end() ? 1 : std::max(1.0, found->second);
}

double CostModel::prefillSeconds(std::uint64_t tokens, std::uint64_t context) const
{
    return static_cast<double>(tokens) * secondsPerToken_[bucketOf(tokens + (2 * context))];
}

double CostModel::decodeSecondsPerToken() const
{
    return decodeSeconds_;
}

void CostModel::observe(const AttemptObservation &observation)
{
    const std::uint64_t computed = observation.promptTokens - std::min(observation.promptTokens, observation.cachedTokens);
    if (computed == 0) {
        return;
    }
    const double perToken = seconds(observation.firstToken) / static_cast<double>(computed);
    // The mean context of the computed tokens decides their time; see prefillSeconds().
    double &estimate = observed_.at(bucketOf(computed + (2 * observation.cachedTokens)));
    if (observation.prefillTokensAhead == 0 && estimate > 0) {
        double &slowness = slowness_.size() < MaxEndpoints ? slowness_.try_emplace(observation.endpoint, 1).first->second : slowness_.begin()->second;
        // Waiting behind other entries' work looks like slowness, so the influence of one answer is bounded.
        slowness += SlownessWeight * (std::clamp(perToken / estimate, MinSlowness, 2 * slowness) - slowness);
        slowness = std::clamp(slowness, MinSlowness, MaxSlowness);
    }
    if (estimate == 0) {
        estimate = perToken;
    }
    follow(estimate, perToken);
    for (std::size_t bucket = 0; bucket < Buckets; ++bucket) {
        secondsPerToken_.at(bucket) = nearestObserved(bucket);
    }
    if (observation.generatedTokens > 1) {
        follow(decodeSeconds_, seconds(observation.total - observation.firstToken) / static_cast<double>(observation.generatedTokens - 1));
    }
}

std::size_t CostModel::bucketOf(std::uint64_t tokens)
{
    constexpr int firstBucketWidth = 10; // 1024 tokens
    const int width = static_cast<int>(std::bit_width(tokens)) - 1;
    return static_cast<std::size_t>(std::clamp(width - firstBucketWidth, 0, static_cast<int>(Buckets) - 1));
}

double CostModel::nearestObserved(std::size_t bucket) const
{
    for (std::size_t distance = 0; distance < Buckets; ++distance) {
        if (bucket >= distance && observed_.at(bucket - distance) > 0) {
            return observed_.at(bucket - distance);
        }
        if (bucket + distance < Buckets && observed_.at(bucket + distance) > 0) {
            return observed_.at(bucket + distance);
        }
    }
    return InitialSecondsPerToken;
}

}
