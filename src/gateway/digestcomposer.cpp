#include "gateway/digestcomposer.h"

#include <algorithm>

namespace Lentillock
{

namespace
{

/// Number of digests that contain a changed sum.
constexpr int SendsPerChange = 2;

/// The age of a pending prefill grows with time and does not make a sum different.
bool isSameLoad(const EndpointLoad &left, EndpointLoad right)
{
    right.oldestPendingPrefillAgeMs = left.oldestPendingPrefillAgeMs;
    return left == right;
}

}

std::vector<EndpointLoadReport> DigestComposer::compose(const LoadSums &sums, std::size_t digestsPerRefresh)
{
    for (const auto &[hash, load] : sums) {
        SentEntry &entry = entries_[hash];
        if (!isSameLoad(entry.load, load)) {
            entry.remainingSends = SendsPerChange;
        }
        entry.load = load;
    }
    for (auto &[hash, entry] : entries_) {
        if (entry.load != EndpointLoad{} && !sums.contains(hash)) {
            entry = {.load = {}, .remainingSends = SendsPerChange};
        }
    }
    const std::size_t refreshCount = (entries_.size() + digestsPerRefresh - 1) / digestsPerRefresh;
    for (std::size_t count = 0; count < refreshCount; ++count) {
        auto next = entries_.lower_bound(refreshCursor_);
        next = next == entries_.end() ? entries_.begin() : next;
        next->second.remainingSends = std::max(next->second.remainingSends, 1);
        refreshCursor_ = next->first + 1;
    }
    std::vector<EndpointLoadReport> report;
    for (auto &[hash, entry] : entries_) {
        if (entry.remainingSends > 0) {
            --entry.remainingSends;
            report.push_back({hash, entry.load});
        }
    }
    std::erase_if(entries_, [](const auto &entry) { return entry.second.load == EndpointLoad{} && entry.second.remainingSends == 0; });
    return report;
}

}
