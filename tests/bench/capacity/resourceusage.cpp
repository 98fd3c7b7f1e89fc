#include "bench/capacity/resourceusage.h"

#include <ctime>
#include <fstream>
#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

namespace Lentillock
{

double cpuMilliseconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

double residentMegabytes()
{
    malloc_trim(0);
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

double peakResidentMegabytes()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return static_cast<double>(usage.ru_maxrss) * 1024 / 1e6;
}

}
