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

/// Many members in one process, connected by a network with delay and loss. Time advances in steps of 50 ms.
class MembershipSimulation
{
public:
    struct Traffic {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
        std::size_t largest = 0;
    };

    MembershipSimulation(std::size_t count, std::uint64_t seed, double loss);

    void run(Duration time);
    void kill(std::size_t index);
    /// Starts a member of the same name with a new incarnation and the first members as seeds.
    void restart(std::size_t index);
    void pause(std::size_t index);
    void resume(std::size_t index);
    /// Members below @p boundary and the others do not reach each other; 0 ends the cut.
    void cut(std::size_t boundary);

    /// Every running member holds exactly the running members for live.
    [[nodiscard]] bool converged() const;
    /// Runs until converged() or @p limit; the time it took.
    std::optional<Duration> runUntilConverged(Duration limit);
    /// Runs until every running member knows that @p index is not alive; the time it took.
    std::optional<Duration> runUntilDetected(std::size_t index, Duration limit);

    [[nodiscard]] Membership &member(std::size_t index);
    /// What all members sent since the last call.
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
    void send(std::size_t from, const std::vector<SendGossip> &sends);
    std::optional<Duration> runUntil(Duration limit, const std::function<bool()> &reached);
    static std::string address(std::size_t index);

    std::vector<Node> nodes_;
    std::mt19937_64 random_;
    double loss_;
    std::size_t boundary_ = 0;
    TimePoint now_{std::chrono::hours(1)};
    std::uint64_t starts_ = 0;
    std::uint64_t order_ = 0;
    std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> network_;
    std::map<std::string, std::size_t> byAddress_;
    Traffic traffic_;
};

}
