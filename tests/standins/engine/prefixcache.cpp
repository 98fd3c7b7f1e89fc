#include "standins/engine/prefixcache.h"

namespace Lentillock
{

PrefixCache::PrefixCache(std::size_t maxBlocks, std::uint64_t lossInterval)
    : maxBlocks_(maxBlocks)
    , lossInterval_(lossInterval)
{
}

std::size_t PrefixCache::match(const std::vector<std::uint64_t> &blocks)
{
    std::size_t matched = 0;
    for (const std::uint64_t block : blocks) {
        const auto found = positions_.find(block);
        if (found == positions_.end()) {
            break;
        }
        lruOrder_.splice(lruOrder_.begin(), lruOrder_, found->second);
        ++matched;
    }
    return matched;
}

void PrefixCache::store(TimePoint now, const std::vector<std::uint64_t> &blocks)
{
    for (const std::uint64_t block : blocks) {
        if (const auto found = positions_.find(block); found != positions_.end()) {
            lruOrder_.splice(lruOrder_.begin(), lruOrder_, found->second);
            continue;
        }
        lruOrder_.push_front(block);
        positions_[block] = lruOrder_.begin();
        recordEvent(now, true, block);
    }
    while (lruOrder_.size() > maxBlocks_) {
        recordEvent(now, false, lruOrder_.back());
        positions_.erase(lruOrder_.back());
        lruOrder_.pop_back();
    }
}

std::vector<CacheEvent> PrefixCache::events(std::uint64_t after, TimePoint until) const
{
    std::vector<CacheEvent> result;
    for (const CacheEvent &event : events_) {
        if (event.sequence > after && event.at <= until) {
            result.push_back(event);
        }
    }
    return result;
}

void PrefixCache::recordEvent(TimePoint now, bool stored, std::uint64_t block)
{
    ++sequence_;
    if (lossInterval_ != 0 && sequence_ % lossInterval_ == 0) {
        return;
    }
    events_.push_back({sequence_, stored, block, now});
    if (events_.size() > MaxEvents) {
        events_.pop_front();
    }
}

}
