#pragma once

#include <chrono>

namespace Lentillock
{

using namespace std::chrono_literals;

using std::chrono::milliseconds;

/// Monotonic time, used for all deadlines within a process. Never sent to another process.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// Current monotonic time. For code that performs I/O; decision logic takes the time as an argument instead.
inline TimePoint monotonicNow()
{
    return std::chrono::steady_clock::now();
}

inline double inMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Wall-clock time in milliseconds since the Unix epoch, as used in log records and UUIDs.
using WallTime = std::chrono::sys_time<milliseconds>;

}
