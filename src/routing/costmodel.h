#pragma once

#include "base/identifier.h"
#include "base/time.h"
#include "routing/routingpolicy.h"

#include <array>
#include <cstdint>
#include <unordered_map>

namespace Lentillock
{

/// Predicts how long an otherwise idle endpoint computes for a request. Learns from answers.
///
/// Observed times include waiting, so the estimates follow the fast observations: they move quickly to a shorter time and
/// slowly to a longer one.
class CostModel
{
public:
    CostModel();

    /// Speed of one endpoint relative to the fleet; 1 until learnt.
    [[nodiscard]] double slowness(const EndpointId &endpoint) const;

    /// Seconds to compute @p tokens prompt tokens behind @p context tokens whose KV cache exists, on an endpoint of average speed.
    [[nodiscard]] double prefillSeconds(std::uint64_t tokens, std::uint64_t context) const;

    /// Seconds per generated token on an otherwise idle endpoint of average speed.
    [[nodiscard]] double decodeSecondsPerToken() const;

    void observe(const AttemptObservation &observation);

private:
    /// One bucket per power of two of the prompt length, from 1k tokens to 1M tokens.
    static constexpr std::size_t Buckets = 11;
    static constexpr std::size_t MaxEndpoints = 1000;
    /// Before the first observation: a slow guess, since estimates fall faster than they rise.
    static constexpr double InitialSecondsPerToken = 50e-6;
    static constexpr double InitialDecodeSeconds = 0.02;

    [[nodiscard]] static std::size_t bucketOf(std::uint64_t tokens);
    /// The estimate of the nearest bucket that has been observed.
    [[nodiscard]] double nearestObserved(std::size_t bucket) const;

    std::array<double, Buckets> observed_{}; ///< Seconds per token; 0: not yet observed.
    std::array<double, Buckets> secondsPerToken_; ///< With the gaps filled.
    double decodeSeconds_ = InitialDecodeSeconds;
    std::unordered_map<EndpointId, double> slowness_;
};

}
