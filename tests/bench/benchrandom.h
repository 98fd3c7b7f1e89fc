#pragma once

#include <cstdint>
#include <random>

namespace Lentillock
{

/// Seeded random number generator. Does not use the distributions of the standard library, whose results differ between implementations.
class BenchRandom
{
public:
    explicit BenchRandom(std::uint64_t seed);

    std::uint64_t bits();
    /// Uniform in [0, 1).
    double uniform();
    double exponential(double mean);
    /// Log-uniform in [low, high).
    double logUniform(double low, double high);

private:
    std::mt19937_64 engine_;
};

}
