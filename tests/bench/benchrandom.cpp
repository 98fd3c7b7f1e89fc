#include "bench/benchrandom.h"

#include <cmath>

namespace Lentillock
{

BenchRandom::BenchRandom(std::uint64_t seed)
    : engine_(seed)
{
}

std::uint64_t BenchRandom::bits()
{
    return engine_();
}

double BenchRandom::uniform()
{
    return static_cast<double>(engine_() >> 11U) * 0x1.0p-53;
}

double BenchRandom::exponential(double mean)
{
    return -mean * std::log1p(-uniform());
}

double BenchRandom::logUniform(double low, double high)
{
    return low * std::pow(high / low, uniform());
}

}
