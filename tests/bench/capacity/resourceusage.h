#pragma once

namespace Lentillock
{

/// CPU time of this process in milliseconds.
double cpuMilliseconds();

/// Resident memory in MB. Returns free heap memory to the system first.
double residentMegabytes();

/// Peak resident memory of this process in MB.
double peakResidentMegabytes();

/// Mean CPU time of one call of @p work in milliseconds, over @p repetitions calls.
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
