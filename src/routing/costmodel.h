#pragma once

#include "base/identifier.h"
#include "base/time.h"
#include "routing/routingpolicy.h"

#include <array>
#include <cstdint>
#include <unordered_map>

namespace Lentillock
{

/// Predicts the compute time of a request on an otherwise idle endpoint from the times of earlier answers.
///
/// Observed times include waiting, so the estimates are biased towards short observations: they move quickly to a shorter time and slowly to
/// a longer one.
class CostModel
{
public:
    CostModel();

    /// Factor by which an endpoint is slower than the fleet's average, at least 1; 1 before the first observation.
    [[nodiscard]] double slowdown(const EndpointId &endpoint) const;

    /// Seconds that an endpoint of average speed takes to compute @p tokens prompt tokens after @p context tokens that are in its KV cache.
    [[nodiscard]] double prefillSeconds(std::uint64_t tokens, std::uint64_t context) const;

    /// Seconds per generated token on an otherwise idle endpoint of average speed.
    [[nodiscard]] double decodeSecondsPerToken() const;

    void observe(const AttemptObservation &observation);

private:
    /// One bucket per power of two of the prompt length, from 1k tokens to 1M tokens.
    static constexpr std::size_t Buckets = 11;
    static constexpr std::size_t MaxEndpoints = 1000;
    /// Used before the first observation. High on purpose, since estimates fall faster than they rise.
    static constexpr double InitialSecondsPerToken = 50e-6;
    static constexpr double InitialDecodeSecondsPerToken = 0.02;

    [[nodiscard]] static std::size_t bucketOf(std::uint64_t tokens);
    /// Returns the estimate of the nearest bucket that has an observation.
    [[nodiscard]] double nearestObserved(std::size_t bucket) const;

    std::array<double, Buckets> observedSecondsPerToken_{}; ///< 0 if not yet observed.
    std::array<double, Buckets> secondsPerToken_; ///< As observed; unobserved buckets have the value of the nearest observed one.
    double decodeSecondsPerToken_ = InitialDecodeSecondsPerToken;
    std::unordered_map<EndpointId, double> slowdowns_;
};

}
