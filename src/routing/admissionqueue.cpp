#include "routing/admissionqueue.h"

#include <algorithm>

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
    entries_.push_back(entry);
    return true;
}

void AdmissionQueue::remove(const RequestId &request)
{
    std::erase_if(entries_, [&request](const QueueEntry &entry) { return entry.request == request; });
}

std::vector<RequestId> AdmissionQueue::order(TimePoint /*now*/) const
{
    std::vector<const QueueEntry *> sorted;
    sorted.reserve(entries_.size());
    for (const QueueEntry &entry : entries_) {
        sorted.push_back(&entry);
    }
    std::stable_sort(sorted.begin(), sorted.end(), [](const QueueEntry *left, const QueueEntry *right) { return left->priority > right->priority; });
    std::vector<RequestId> result;
    result.reserve(sorted.size());
    for (const QueueEntry *entry : sorted) {
        result.push_back(entry->request);
    }
    return result;
}

std::size_t AdmissionQueue::size() const
{
    return entries_.size();
}

}
