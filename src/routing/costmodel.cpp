#include "routing/costmodel.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace Lentillock
{

namespace
{

/// Weight of an observation below the current estimate.
constexpr double DecreaseWeight = 0.3;
/// Weight of an observation above the current estimate, which may include waiting time.
constexpr double IncreaseWeight = 0.01;
constexpr double SlowdownWeight = 0.02;
constexpr double MinSlowdown = 0.5;
constexpr double MaxSlowdown = 10;

void updateEstimate(double &estimate, double observed)
{
    estimate += (observed < estimate ? DecreaseWeight : IncreaseWeight) * (observed - estimate);
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

double CostModel::slowdown(const EndpointId &endpoint) const
{
    const auto found = slowdowns_.find(endpoint);
    return found == slowdowns_.end() ? 1 : std::max(1.0, found->second);
}

double CostModel::prefillSeconds(std::uint64_t tokens, std::uint64_t context) const
{
    return static_cast<double>(tokens) * secondsPerToken_[bucketOf(tokens + (2 * context))];
}

double CostModel::decodeSecondsPerToken() const
{
    return decodeSecondsPerToken_;
}

void CostModel::observe(const AttemptObservation &observation)
{
    const std::uint64_t computed = observation.promptTokens - std::min(observation.promptTokens, observation.cachedTokens);
    if (computed == 0) {
        return;
    }
    const double perToken = seconds(observation.firstToken) / static_cast<double>(computed);
    // The time per token depends on the mean context of the computed tokens; see prefillSeconds().
    double &estimate = observedSecondsPerToken_.at(bucketOf(computed + (2 * observation.cachedTokens)));
    if (observation.prefillTokensAhead == 0 && estimate > 0) {
        double &slowdown = slowdowns_.size() < MaxEndpoints ? slowdowns_.try_emplace(observation.endpoint, 1).first->second : slowdowns_.begin()->second;
        // Waiting behind the requests of other entries also raises the time per token, so the influence of one answer is bounded.
        slowdown += SlowdownWeight * (std::clamp(perToken / estimate, MinSlowdown, 2 * slowdown) - slowdown);
        slowdown = std::clamp(slowdown, MinSlowdown, MaxSlowdown);
    }
    if (estimate == 0) {
        estimate = perToken;
    }
    updateEstimate(estimate, perToken);
    for (std::size_t bucket = 0; bucket < Buckets; ++bucket) {
        secondsPerToken_.at(bucket) = nearestObserved(bucket);
    }
    if (observation.generatedTokens > 1) {
        updateEstimate(decodeSecondsPerToken_, seconds(observation.total - observation.firstToken) / static_cast<double>(observation.generatedTokens - 1));
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
        if (bucket >= distance && observedSecondsPerToken_.at(bucket - distance) > 0) {
            return observedSecondsPerToken_.at(bucket - distance);
        }
        if (bucket + distance < Buckets && observedSecondsPerToken_.at(bucket + distance) > 0) {
            return observedSecondsPerToken_.at(bucket + distance);
        }
    }
    return InitialSecondsPerToken;
}

}
