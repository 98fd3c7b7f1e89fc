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
        recent_.splice(recent_.begin(), recent_, found->second);
        ++matched;
    }
    return matched;
}

void PrefixCache::store(TimePoint now, const std::vector<std::uint64_t> &blocks)
{
    for (const std::uint64_t block : blocks) {
        if (const auto found = positions_.find(block); found != positions_.end()) {
            recent_.splice(recent_.begin(), recent_, found->second);
            continue;
        }
        recent_.push_front(block);
        positions_[block] = recent_.begin();
        log(now, true, block);
    }
    while (recent_.size() > maxBlocks_) {
        log(now, false, recent_.back());
        positions_.erase(recent_.back());
        recent_.pop_back();
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

void PrefixCache::log(TimePoint now, bool stored, std::uint64_t block)
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
