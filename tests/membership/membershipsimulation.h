#pragma once

#include "membership/membership.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace Lentillock
{

/// Simulates members in one process, connected by a network with delay and packet loss. Simulated time advances in steps of 50 ms.
class MembershipSimulation
{
public:
    struct Traffic {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
        std::size_t largestMessage = 0;
    };

    MembershipSimulation(std::size_t count, std::uint64_t seed, double lossRate);

    void run(Duration time);
    void kill(std::size_t index);
    /// Starts the member again with the same id, a new incarnation and the first members as seeds.
    void restart(std::size_t index);
    void pause(std::size_t index);
    void resume(std::size_t index);
    /// Drops all messages between the members below @p boundary and the others; 0 removes the partition.
    void partition(std::size_t boundary);

    /// Whether every running member considers exactly the running members live.
    [[nodiscard]] bool converged() const;
    /// Runs until converged() and returns the elapsed time; nothing if @p limit is exceeded.
    std::optional<Duration> runUntilConverged(Duration limit);
    /// Runs until no running, unpaused member considers @p index live and returns the elapsed time; nothing if @p limit is exceeded.
    std::optional<Duration> runUntilDetected(std::size_t index, Duration limit);

    [[nodiscard]] Membership &member(std::size_t index);
    /// Returns the traffic of all members since the last call.
    Traffic takeTraffic();

private:
    struct Node {
        std::optional<Membership> membership;
        bool running = true;
        bool paused = false;
    };
    struct Delivery {
        TimePoint due;
        std::uint64_t order = 0;
        std::size_t from = 0;
        std::size_t to = 0;
        GossipMessage message;

        bool operator>(const Delivery &other) const
        {
            return due != other.due ? due > other.due : order > other.order;
        }
    };

    void step();
    void start(std::size_t index);
    void send(std::size_t from, const std::vector<OutgoingGossip> &outgoingMessages);
    std::optional<Duration> runUntil(Duration limit, const std::function<bool()> &condition);
    static std::string address(std::size_t index);

    std::vector<Node> nodes_;
    std::mt19937_64 random_;
    double lossRate_;
    std::size_t boundary_ = 0;
    TimePoint now_{std::chrono::hours(1)};
    std::uint64_t starts_ = 0;
    std::uint64_t lastOrder_ = 0;
    std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> network_;
    std::map<std::string, std::size_t> byAddress_;
    Traffic traffic_;
};

}
