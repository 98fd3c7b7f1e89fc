#pragma once

#include "base/time.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace Lentillock
{

struct CacheEvent {
    std::uint64_t sequence = 0;
    bool stored = true; ///< False: evicted.
    std::uint64_t block = 0;
    TimePoint at;
};

/// LRU cache of prompt prefix blocks that logs insertions and evictions.
class PrefixCache
{
public:
    /// Every @p lossInterval-th event is omitted from the log to simulate lost events; 0 omits none.
    PrefixCache(std::size_t maxBlocks, std::uint64_t lossInterval);

    /// Returns the number of leading blocks that are cached, and marks them as most recently used.
    std::size_t match(const std::vector<std::uint64_t> &blocks);

    void store(TimePoint now, const std::vector<std::uint64_t> &blocks);

    /// Returns the events with a sequence number above @p after that occurred no later than @p until.
    ///
    /// Only the newest MaxEvents events are kept.
    [[nodiscard]] std::vector<CacheEvent> events(std::uint64_t after, TimePoint until) const;

private:
    static constexpr std::size_t MaxEvents = 10'000;

    void recordEvent(TimePoint now, bool stored, std::uint64_t block);

    std::size_t maxBlocks_;
    std::uint64_t lossInterval_;
    std::uint64_t sequence_ = 0;
    std::list<std::uint64_t> lruOrder_; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions_;
    std::list<CacheEvent> events_;
};

}
