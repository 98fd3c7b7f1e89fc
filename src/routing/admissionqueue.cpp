#include "routing/admissionqueue.h"

#include <algorithm>
#include <tuple>

namespace Lentillock
{

AdmissionQueue::AdmissionQueue(std::size_t maxLength)
    : maxLength_(maxLength)
{
}

bool AdmissionQueue::push(const QueueEntry &entry)
{
    if (entries_.size() >= maxLength_) {
        return false;
    }
    const WorkClass workClass = workClassOf(entry.promptTokens);
    double &virtualFinish = virtualFinish_[entry.workspace];
    const double virtualStart = std::max(virtualTime_, virtualFinish);
    virtualFinish = virtualStart + static_cast<double>(entry.promptTokens);
    entries_.push_back({entry, workClass, virtualStart});
    waitingTokens_.at(static_cast<std::size_t>(workClass))[entry.workspace] += entry.promptTokens;
    return true;
}

void AdmissionQueue::remove(const RequestId &request)
{
    const auto found = std::find_if(entries_.begin(), entries_.end(), [&request](const QueuedRequest &queued) { return queued.entry.request == request; });
    if (found == entries_.end()) {
        return;
    }
    const QueuedRequest removed = *found;
    entries_.erase(found);
    updateAfterRemoval(removed);
}

void AdmissionQueue::updateAfterRemoval(const QueuedRequest &queued)
{
    virtualTime_ = std::max(virtualTime_, queued.virtualStart);
    TokensByWorkspace &tokens = waitingTokens_.at(static_cast<std::size_t>(queued.workClass));
    const WorkspaceId &workspace = queued.entry.workspace;
    const auto sameWorkspace = [&workspace](const QueuedRequest &other) { return other.entry.workspace == workspace; };
    const auto sameClass = [&queued, &sameWorkspace](const QueuedRequest &other) { return sameWorkspace(other) && other.workClass == queued.workClass; };
    tokens[workspace] -= queued.entry.promptTokens;
    if (std::none_of(entries_.begin(), entries_.end(), sameClass)) {
        tokens.erase(workspace);
    }
    // A finish time that is not after the virtual time no longer affects any start time.
    std::erase_if(virtualFinish_, [this](const auto &finish) { return finish.second <= virtualTime_; });
}

std::vector<RequestId> AdmissionQueue::order(TimePoint now) const
{
    std::vector<std::pair<bool, const QueuedRequest *>> sorted;
    sorted.reserve(entries_.size());
    for (const QueuedRequest &queued : entries_) {
        sorted.emplace_back(isAged(queued.entry, now), &queued);
    }
    std::stable_sort(sorted.begin(), sorted.end(), [](const auto &left, const auto &right) {
        if (left.first != right.first) {
            return left.first;
        }
        if (left.first) {
            return left.second->entry.deadline < right.second->entry.deadline;
        }
        return std::tuple(-left.second->entry.priority, left.second->workClass, left.second->virtualStart)
            < std::tuple(-right.second->entry.priority, right.second->workClass, right.second->virtualStart);
    });
    std::vector<RequestId> result;
    result.reserve(sorted.size());
    for (const auto &[aged, queued] : sorted) {
        result.push_back(queued->entry.request);
    }
    return result;
}

std::size_t AdmissionQueue::size() const
{
    return entries_.size();
}

std::uint64_t AdmissionQueue::waitingTokens(WorkClass workClass) const
{
    std::uint64_t sum = 0;
    for (const auto &[workspace, tokens] : waitingTokens_.at(static_cast<std::size_t>(workClass))) {
        sum += tokens;
    }
    return sum;
}

std::uint64_t AdmissionQueue::waitingTokens(WorkClass workClass, const WorkspaceId &workspace) const
{
    const TokensByWorkspace &tokens = waitingTokens_.at(static_cast<std::size_t>(workClass));
    const auto found = tokens.find(workspace);
    return found == tokens.end() ? 0 : found->second;
}

std::size_t AdmissionQueue::waitingWorkspaces(WorkClass workClass) const
{
    return waitingTokens_.at(static_cast<std::size_t>(workClass)).size();
}

bool AdmissionQueue::isAged(const QueueEntry &entry, TimePoint now)
{
    return now - entry.arrival >= (entry.deadline - entry.arrival) * AgingThreshold;
}

}
