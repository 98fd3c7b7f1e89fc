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
    std::map<WorkspaceId, WorkspaceState> updated;
    for (const Workspace &workspace : workspaces) {
        WorkspaceState &state = updated[workspace.id];
        if (const auto found = workspaces_.find(workspace.id); found != workspaces_.end()) {
            state = std::move(found->second);
        }
        state.workspace = workspace;
    }
    workspaces_ = std::move(updated);
}

void WorkspaceLimits::setVms(TimePoint now, const std::vector<VmId> &vms)
{
    vms_.clear();
    vms_.insert(vms.begin(), vms.end());
    vms_.insert(self_);
    // A sample is obsolete once an equal or larger count has been seen later.
    std::erase_if(vmCounts_, [this, now](const VmCountSample &sample) { return sample.vms <= vms_.size() || now - sample.lastSeen > VmCountRetention; });
    vmCounts_.push_back({vms_.size(), now});
}

void WorkspaceLimits::setDemand(const WorkspaceDemand &demand)
{
    const auto found = workspaces_.find(demand.workspace);
    if (found != workspaces_.end() && demand.vm != self_) {
        found->second.peerDemands[demand.vm] = demand;
    }
}

std::optional<Duration> WorkspaceLimits::admit(TimePoint now, const WorkspaceId &workspace, std::uint64_t tokens)
{
    const auto found = workspaces_.find(workspace);
    if (found == workspaces_.end()) {
        return std::nullopt;
    }
    WorkspaceState &state = found->second;
    state.demand = (state.demand * std::exp2(-seconds(now - state.demandAt) / seconds(DemandHalfLife))) + 1;
    state.demandAt = now;
    const double vmShare = effectiveShare(now, state);
    const double requestRate = state.workspace.requestsPerSecond * vmShare;
    const double tokenRate = state.workspace.tokensPerSecond * vmShare;
    state.requests.refill(now, requestRate);
    state.tokens.refill(now, tokenRate);
    const auto requestWait = state.workspace.requestsPerSecond > 0 ? timeUntilAvailable(state.requests, requestRate) : std::nullopt;
    const auto tokenWait = state.workspace.tokensPerSecond > 0 ? timeUntilAvailable(state.tokens, tokenRate) : std::nullopt;
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
    for (const auto &[id, state] : workspaces_) {
        if (const double rate = demandRate(state, now); rate >= MinDemand) {
            demands.push_back({self_, id, rate, now});
        }
    }
    return demands;
}

double WorkspaceLimits::share(TimePoint now, const WorkspaceId &workspace)
{
    const auto found = workspaces_.find(workspace);
    return found == workspaces_.end() ? 0 : effectiveShare(now, found->second);
}

void WorkspaceLimits::TokenBucket::refill(TimePoint now, double rate)
{
    const double capacity = rate * seconds(BurstWindow);
    const bool isNew = refilledAt == TimePoint();
    level = isNew ? capacity : std::min(capacity, level + (rate * seconds(now - refilledAt)));
    refilledAt = now;
}

std::size_t WorkspaceLimits::largestVmCount(TimePoint now) const
{
    std::size_t largest = std::max(expectedVms_, vms_.size());
    for (const VmCountSample &sample : vmCounts_) {
        if (now - sample.lastSeen <= VmCountRetention) {
            largest = std::max(largest, sample.vms);
        }
    }
    return largest;
}

double WorkspaceLimits::visibleFraction(TimePoint now) const
{
    return std::min(1.0, MaxExcess * static_cast<double>(vms_.size()) / static_cast<double>(largestVmCount(now)));
}

double WorkspaceLimits::targetShare(TimePoint now, const WorkspaceState &state) const
{
    const double equal = 1 / static_cast<double>(vms_.size());
    if (sharing_ == Sharing::Equal) {
        return visibleFraction(now) * equal;
    }
    const double own = demandRate(state, now);
    double sum = own;
    for (const auto &[vm, demand] : state.peerDemands) {
        sum += vms_.contains(vm) ? demand.requestsPerSecond : 0;
    }
    const double proportional = sum > 0 ? own / sum : equal;
    return visibleFraction(now) * ((EqualFraction * equal) + ((1 - EqualFraction) * proportional));
}

double WorkspaceLimits::effectiveShare(TimePoint now, WorkspaceState &state) const
{
    std::erase_if(state.peerDemands, [now](const auto &other) { return now - other.second.receivedAt > DemandLifetime; });
    std::deque<ShareSample> &shares = state.shares;
    const bool wasIdle = shares.empty() || now - shares.back().at > IncreaseDelay;
    if (wasIdle) {
        // The other VMs may have divided the demand-based part of this VM's share among themselves.
        const double initial = (sharing_ == Sharing::Equal ? 1 : EqualFraction) / static_cast<double>(vms_.size());
        shares.assign(1, {now, initial * visibleFraction(now)});
    }
    if (const double current = targetShare(now, state); now - shares.back().at >= ShareUpdateInterval || current < shares.back().share) {
        shares.push_back({now, current});
    }
    while (now - shares.front().at > IncreaseDelay) {
        shares.pop_front();
    }
    const auto smallest
        = std::min_element(shares.begin(), shares.end(), [](const ShareSample &left, const ShareSample &right) { return left.share < right.share; });
    return smallest->share;
}

double WorkspaceLimits::demandRate(const WorkspaceState &state, TimePoint now)
{
    const double decay = std::exp2(-seconds(now - state.demandAt) / seconds(DemandHalfLife));
    return state.demand * decay * std::numbers::ln2 / seconds(DemandHalfLife);
}

std::optional<Duration> WorkspaceLimits::timeUntilAvailable(const TokenBucket &bucket, double rate)
{
    if (bucket.level > 0) {
        return std::nullopt;
    }
    const double wait = rate > 0 ? (1e-3 - bucket.level) / rate : seconds(MaxRetryAfter);
    return std::min<Duration>(MaxRetryAfter, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait)));
}

}
