#pragma once

#include <chrono>

namespace Lentillock
{

using namespace std::chrono_literals;

using std::chrono::milliseconds;

/// Monotonic time. All deadlines inside a process use it; it is never sent to another process.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// The time at which something is read or sent. Decision logic takes times as arguments instead.
inline TimePoint monotonicNow()
{
    return std::chrono::steady_clock::now();
}

inline double inMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Wall-clock time in milliseconds since the Unix epoch, as used in records of the log and in UUIDs.
using WallTime = std::chrono::sys_time<milliseconds>;

}
