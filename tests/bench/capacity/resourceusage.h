#pragma once

namespace Lentillock
{

/// CPU time of this process in milliseconds.
double cpuMilliseconds();

/// Resident memory in MB after free memory has been returned to the system.
double residentMegabytes();

/// Highest resident memory of this process so far in MB.
double peakResidentMegabytes();

/// CPU time of one call in milliseconds, as the mean of @p repetitions.
template<typename Work>
double meanCpuMilliseconds(int repetitions, const Work &work)
{
    const double begin = cpuMilliseconds();
    for (int i = 0; i < repetitions; ++i) {
        work();
    }
    return (cpuMilliseconds() - begin) / repetitions;
}

}
