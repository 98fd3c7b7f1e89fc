#include "routing/workspacelimits.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

namespace Lentillock
{

namespace
{

constexpr Duration MaxRetryAfter = 60s;
/// Requests per second below which a workspace counts as idle.
constexpr double MinDemand = 1e-3;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

}

WorkspaceLimits::WorkspaceLimits(VmId self, std::size_t expectedVms, Sharing sharing)
    : self_(std::move(self))
    , expectedVms_(expectedVms)
    , sharing_(sharing)
    , vms_{self_}
{
}

void WorkspaceLimits::setExpectedVms(std::size_t vms)
{
    expectedVms_ = vms;
}

void WorkspaceLimits::setWorkspaces(const std::vector<Workspace> &workspaces)
{
    std::map<WorkspaceId, State> states;
    for (const Workspace &workspace : workspaces) {
        State &state = states[workspace.id];
        if (const auto found = states_.find(workspace.id); found != states_.end()) {
            state = std::move(found->second);
        }
        state.workspace = workspace;
    }
    states_ = std::move(states);
}

void WorkspaceLimits::setVms(TimePoint now, const std::vector<VmId> &vms)
{
    vms_.clear();
    vms_.insert(vms.begin(), vms.end());
    vms_.insert(self_);
    // A count is of no more interest once an equal or larger one has been seen later.
    std::erase_if(counts_, [this, now](const CountSeen &seen) { return seen.vms <= vms_.size() || now - seen.lastSeen > PartitionMemory; });
    counts_.push_back({vms_.size(), now});
}

void WorkspaceLimits::setDemand(const WorkspaceDemand &demand)
{
    const auto found = states_.find(demand.workspace);
    if (found != states_.end() && demand.vm != self_) {
        found->second.others[demand.vm] = demand;
    }
}

std::optional<Duration> WorkspaceLimits::admit(TimePoint now, const WorkspaceId &workspace, std::uint64_t tokens)
{
    const auto found = states_.find(workspace);
    if (found == states_.end()) {
        return std::nullopt;
    }
    State &state = found->second;
    state.demand = (state.demand * std::exp2(-seconds(now - state.demandAt) / seconds(DemandHalfLife))) + 1;
    state.demandAt = now;
    const double part = shareInForce(now, state);
    const double requestRate = state.workspace.requestsPerSecond * part;
    const double tokenRate = state.workspace.tokensPerSecond * part;
    state.requests.fill(now, requestRate);
    state.tokens.fill(now, tokenRate);
    const auto requestWait = state.workspace.requestsPerSecond > 0 ? timeUntilPositive(state.requests, requestRate) : std::nullopt;
    const auto tokenWait = state.workspace.tokensPerSecond > 0 ? timeUntilPositive(state.tokens, tokenRate) : std::nullopt;
    if (requestWait || tokenWait) {
        return std::max(requestWait.value_or(Duration::zero()), tokenWait.value_or(Duration::zero()));
    }
    state.requests.level -= 1;
    state.tokens.level -= static_cast<double>(tokens);
    return std::nullopt;
}

std::vector<WorkspaceDemand> WorkspaceLimits::ownDemand(TimePoint now) const
{
    std::vector<WorkspaceDemand> demands;
    for (const auto &[id, state] : states_) {
        if (const double rate = demandRate(state, now); rate >= MinDemand) {
            demands.push_back({self_, id, rate, now});
        }
    }
    return demands;
}

double WorkspaceLimits::share(TimePoint now, const WorkspaceId &workspace)
{
    const auto found = states_.find(workspace);
    return found == states_.end() ? 0 : shareInForce(now, found->second);
}

void WorkspaceLimits::Bucket::fill(TimePoint now, double rate)
{
    const double capacity = rate * seconds(Burst);
    const bool isNew = filledAt == TimePoint();
    level = isNew ? capacity : std::min(capacity, level + (rate * seconds(now - filledAt)));
    filledAt = now;
}

std::size_t WorkspaceLimits::knownVms(TimePoint now) const
{
    std::size_t known = std::max(expectedVms_, vms_.size());
    for (const CountSeen &seen : counts_) {
        if (now - seen.lastSeen <= PartitionMemory) {
            known = std::max(known, seen.vms);
        }
    }
    return known;
}

double WorkspaceLimits::visiblePart(TimePoint now) const
{
    return std::min(1.0, MaxExcess * static_cast<double>(vms_.size()) / static_cast<double>(knownVms(now)));
}

double WorkspaceLimits::shareByDemand(TimePoint now, const State &state) const
{
    const double equal = 1 / static_cast<double>(vms_.size());
    if (sharing_ == Sharing::Equal) {
        return visiblePart(now) * equal;
    }
    const double own = demandRate(state, now);
    double sum = own;
    for (const auto &[vm, demand] : state.others) {
        sum += vms_.contains(vm) ? demand.requestsPerSecond : 0;
    }
    const double byDemand = sum > 0 ? own / sum : equal;
    return visiblePart(now) * ((EqualPart * equal) + ((1 - EqualPart) * byDemand));
}

double WorkspaceLimits::shareInForce(TimePoint now, State &state) const
{
    std::erase_if(state.others, [now](const auto &other) { return now - other.second.receivedAt > DemandLifetime; });
    std::deque<ShareAt> &shares = state.shares;
    const bool wasIdle = shares.empty() || now - shares.back().at > RaiseDelay;
    if (wasIdle) {
        // The others may have divided this VM's part by demand among themselves.
        const double safe = (sharing_ == Sharing::Equal ? 1 : EqualPart) / static_cast<double>(vms_.size());
        shares.assign(1, {now, safe * visiblePart(now)});
    }
    if (const double current = shareByDemand(now, state); now - shares.back().at >= ShareInterval || current < shares.back().share) {
        shares.push_back({now, current});
    }
    while (now - shares.front().at > RaiseDelay) {
        shares.pop_front();
    }
    const auto least = std::min_element(shares.begin(), shares.end(), [](const ShareAt &left, const ShareAt &right) { return left.share < right.share; });
    return least->share;
}

double WorkspaceLimits::demandRate(const State &state, TimePoint now)
{
    const double decay = std::exp2(-seconds(now - state.demandAt) / seconds(DemandHalfLife));
    return state.demand * decay * std::numbers::ln2 / seconds(DemandHalfLife);
}

std::optional<Duration> WorkspaceLimits::timeUntilPositive(const Bucket &bucket, double rate)
{
    if (bucket.level > 0) {
        return std::nullopt;
    }
    const double wait = rate > 0 ? (1e-3 - bucket.level) / rate : seconds(MaxRetryAfter);
    return std::min<Duration>(MaxRetryAfter, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait)));
}

}
