#include "membership/membershipsimulation.h"

#include "control/gossipcodec.h"

#include <algorithm>

namespace Lentillock
{

namespace
{

constexpr milliseconds TimeStep{50};
constexpr std::size_t SeedCount = 3;

bool considersLive(const Member *member)
{
    return member != nullptr && (member->status == MemberStatus::Alive || member->status == MemberStatus::Suspect);
}

}

MembershipSimulation::MembershipSimulation(std::size_t count, std::uint64_t seed, double lossRate)
    : nodes_(count)
    , random_(seed)
    , lossRate_(lossRate)
{
    for (std::size_t i = 0; i < count; ++i) {
        byAddress_[address(i)] = i;
        start(i);
    }
}

std::string MembershipSimulation::address(std::size_t index)
{
    return "10.0." + std::to_string(index / 256) + '.' + std::to_string(index % 256) + ":7946";
}

void MembershipSimulation::start(std::size_t index)
{
    Member self;
    self.id = VmId("vm-" + std::to_string(index));
    self.incarnation = 1'700'000'000'000 + 1000 * ++starts_;
    self.gossipAddress = address(index);
    self.controlAddress = address(index);
    self.entryAddress = address(index);
    self.entryIncarnation = self.incarnation;
    self.zone = ZoneId("zone-" + std::to_string(index % 3));
    nodes_[index].membership.emplace(self, random_());
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < std::min(SeedCount, nodes_.size()); ++i) {
        seeds.push_back(address(i));
    }
    nodes_[index].membership->setSeeds(seeds);
    nodes_[index].running = true;
}

void MembershipSimulation::kill(std::size_t index)
{
    nodes_[index].running = false;
}

void MembershipSimulation::restart(std::size_t index)
{
    start(index);
}

void MembershipSimulation::pause(std::size_t index)
{
    nodes_[index].paused = true;
}

void MembershipSimulation::resume(std::size_t index)
{
    nodes_[index].paused = false;
}

void MembershipSimulation::partition(std::size_t boundary)
{
    boundary_ = boundary;
}

void MembershipSimulation::run(Duration time)
{
    const TimePoint end = now_ + time;
    while (now_ < end) {
        step();
    }
}

void MembershipSimulation::step()
{
    now_ += TimeStep;
    while (!network_.empty() && network_.top().due <= now_) {
        const Delivery delivery = network_.top();
        network_.pop();
        Node &node = nodes_[delivery.to];
        if (node.running && !node.paused) {
            send(delivery.to, node.membership->receive(now_, address(delivery.from), delivery.message));
        }
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (nodes_[i].running && !nodes_[i].paused) {
            send(i, nodes_[i].membership->advance(now_));
        }
    }
}

void MembershipSimulation::send(std::size_t from, const std::vector<OutgoingGossip> &outgoingMessages)
{
    for (const OutgoingGossip &outgoing : outgoingMessages) {
        const std::size_t size = encodeGossip(outgoing.message).size();
        ++traffic_.messages;
        traffic_.bytes += size;
        traffic_.largestMessage = std::max(traffic_.largestMessage, size);
        const auto target = byAddress_.find(outgoing.address);
        const bool lost = std::uniform_real_distribution<double>(0, 1)(random_) < lossRate_;
        if (target == byAddress_.end() || lost || (from < boundary_) != (target->second < boundary_)) {
            continue;
        }
        const milliseconds delay(std::uniform_int_distribution<int>(1, 20)(random_));
        network_.push({now_ + delay, ++lastOrder_, from, target->second, outgoing.message});
    }
}

bool MembershipSimulation::converged() const
{
    for (const Node &node : nodes_) {
        if (!node.running) {
            continue;
        }
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            const VmId id("vm-" + std::to_string(i));
            const bool live = node.membership->self().id == id || considersLive(node.membership->find(id));
            if (live != nodes_[i].running) {
                return false;
            }
        }
    }
    return true;
}

std::optional<Duration> MembershipSimulation::runUntil(Duration limit, const std::function<bool()> &condition)
{
    const TimePoint start = now_;
    while (now_ - start < limit) {
        if (condition()) {
            return now_ - start;
        }
        run(250ms);
    }
    return std::nullopt;
}

std::optional<Duration> MembershipSimulation::runUntilConverged(Duration limit)
{
    return runUntil(limit, [this] { return converged(); });
}

std::optional<Duration> MembershipSimulation::runUntilDetected(std::size_t index, Duration limit)
{
    const VmId id("vm-" + std::to_string(index));
    return runUntil(limit, [&] {
        return std::ranges::all_of(nodes_, [&](const Node &node) { return !node.running || node.paused || !considersLive(node.membership->find(id)); });
    });
}

Membership &MembershipSimulation::member(std::size_t index)
{
    return *nodes_[index].membership;
}

MembershipSimulation::Traffic MembershipSimulation::takeTraffic()
{
    return std::exchange(traffic_, {});
}

}
