// Measures traffic, CPU time, failure detection time and convergence time of Membership with 7 to 300 members.
//
// Usage: bench-membership [MEMBERS...]

#include "membership/membershipsimulation.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <thread>

namespace Lentillock
{
namespace
{

constexpr std::uint64_t Seed = 20261204;
constexpr double PacketLoss = 0.02;

double seconds(const std::optional<Duration> &time)
{
    return time ? std::chrono::duration<double>(*time).count() : -1;
}

double cpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

void measure(std::size_t count)
{
    MembershipSimulation simulation(count, Seed, PacketLoss);
    const double convergence = seconds(simulation.runUntilConverged(180s));
    simulation.run(60s);
    simulation.takeTraffic();
    const double before = cpuSeconds();
    simulation.run(60s);
    const double cpuPerMember = (cpuSeconds() - before) / 60 / static_cast<double>(count);
    const auto idle = simulation.takeTraffic();
    simulation.kill(count / 2);
    const double detection = seconds(simulation.runUntilDetected(count / 2, 60s));
    simulation.restart(count / 2);
    const double rejoin = seconds(simulation.runUntilConverged(120s));
    // One VM of the fleet is replaced every 66 s, which is 1,300 per day.
    simulation.takeTraffic();
    bool stayedConverged = true;
    for (std::size_t i = 0; i < 5; ++i) {
        simulation.restart((3 + 7 * i) % count);
        simulation.run(66s);
        stayedConverged = stayedConverged && simulation.converged();
    }
    const auto churn = simulation.takeTraffic();
    simulation.partition(count / 3);
    simulation.run(60s);
    simulation.partition(0);
    const double partitionRecovery = seconds(simulation.runUntilConverged(180s));
    const auto perMember = [count](double amount, double time) { return amount / time / static_cast<double>(count); };
    std::printf("members=%zu start_s=%.1f sent_bytes_per_s=%.0f sent_messages_per_s=%.2f both_ways_bytes_per_s=%.0f largest=%zu cpu_us_per_s=%.0f "
                "detection_s=%.1f rejoin_s=%.1f churn_both_ways_bytes_per_s=%.0f churn_converged=%d cut_healed_s=%.1f\n",
                count,
                convergence,
                perMember(static_cast<double>(idle.bytes), 60),
                perMember(static_cast<double>(idle.messages), 60),
                2 * perMember(static_cast<double>(idle.bytes), 60),
                idle.largestMessage,
                cpuPerMember * 1e6,
                detection,
                rejoin,
                2 * perMember(static_cast<double>(churn.bytes), 330),
                stayedConverged ? 1 : 0,
                partitionRecovery);
    std::fflush(stdout);
}

}
}

int main(int argc, char **argv)
{
    std::printf(
        "cores=%u seed=%llu loss=%.2f\n", std::thread::hardware_concurrency(), static_cast<unsigned long long>(Lentillock::Seed), Lentillock::PacketLoss);
    std::vector<std::size_t> counts{7, 30, 100, 300};
    if (argc > 1) {
        counts.clear();
        std::transform(argv + 1, argv + argc, std::back_inserter(counts), [](const char *text) { return std::stoul(text); });
    }
    for (const std::size_t count : counts) {
        Lentillock::measure(count);
    }
    return 0;
}
