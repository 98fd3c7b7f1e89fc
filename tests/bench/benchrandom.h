#pragma once

#include <cstdint>
#include <random>

namespace Lentillock
{

/// Seeded random numbers of the bench. Uses no distribution of the standard library, whose results differ between libraries.
class BenchRandom
{
public:
    explicit BenchRandom(std::uint64_t seed);

    std::uint64_t bits();
    /// Uniform in [0, 1).
    double uniform();
    double exponential(double mean);
    /// Uniform in the logarithm, in [low, high).
    double logUniform(double low, double high);

private:
    std::mt19937_64 engine_;
};

}
