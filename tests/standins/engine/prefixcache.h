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

/// Least-recently-used set of prompt prefix blocks with a log of its changes.
class PrefixCache
{
public:
    /// One event in @p lossInterval is left out of the log; 0 means that none is.
    PrefixCache(std::size_t maxBlocks, std::uint64_t lossInterval);

    /// Number of leading blocks that are cached. They become the most recently used.
    std::size_t match(const std::vector<std::uint64_t> &blocks);

    void store(TimePoint now, const std::vector<std::uint64_t> &blocks);

    /// Events with a sequence number above @p after that happened at @p until or earlier. Old events are forgotten.
    [[nodiscard]] std::vector<CacheEvent> events(std::uint64_t after, TimePoint until) const;

private:
    static constexpr std::size_t MaxEvents = 10'000;

    void log(TimePoint now, bool stored, std::uint64_t block);

    std::size_t maxBlocks_;
    std::uint64_t lossInterval_;
    std::uint64_t sequence_ = 0;
    std::list<std::uint64_t> recent_; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions_;
    std::list<CacheEvent> events_;
};

}
