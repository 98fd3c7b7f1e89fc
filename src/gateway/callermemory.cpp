#include "gateway/callermemory.h"

#include <iterator>

namespace Lentillock
{

namespace
{

/// Keeps the cost of ordinary requests low. Their memory is bounded by the number of connections.
constexpr std::size_t MinTrackedBytes = OrdinaryRequestBytes / 4;

/// Share of the limit that running requests of more than OrdinaryRequestBytes may use.
constexpr std::size_t LargeRequestQuarters = 3;

}

CallerMemory::CallerMemory(std::size_t limitBytes)
    : limitBytes_(limitBytes)
{
}

void CallerMemory::update(Holder holder, std::size_t bytes, Evict evict)
{
    remove(holder);
    if (bytes < MinTrackedBytes) {
        return;
    }
    heldBytes_ += bytes;
    if (evict) {
        evictable_.emplace(bytes, holder);
    } else {
        runningBytes_ += bytes;
    }
    holdings_.emplace(holder, Holding{.bytes = bytes, .evict = std::move(evict)});
}

void CallerMemory::remove(Holder holder)
{
    const auto found = holdings_.find(holder);
    if (found == holdings_.end()) {
        return;
    }
    const Holding &holding = found->second;
    heldBytes_ -= holding.bytes;
    if (holding.evict) {
        evictable_.erase({holding.bytes, holder});
    } else {
        runningBytes_ -= holding.bytes;
    }
    holdings_.erase(found);
}

bool CallerMemory::mustEnforce() const
{
    return heldBytes_ > limitBytes_ && !evictable_.empty();
}

void CallerMemory::enforce()
{
    while (mustEnforce()) {
        const Holder holder = std::prev(evictable_.end())->second;
        const Evict evict = holdings_.at(holder).evict;
        remove(holder);
        evict();
    }
}

bool CallerMemory::admits(std::size_t bytes) const
{
    const std::size_t limit = bytes <= OrdinaryRequestBytes ? limitBytes_ : limitBytes_ / 4 * LargeRequestQuarters;
    return runningBytes_ + bytes <= limit;
}

std::size_t CallerMemory::heldBytes() const
{
    return heldBytes_;
}

}
