#include "routing/prefixindex.h"

#include <algorithm>

namespace Lentillock
{

PrefixIndex::PrefixIndex(std::size_t maxBlocks)
    : maxBlocks_(maxBlocks)
{
}

void PrefixIndex::recordStored(TimePoint now, const EndpointId &endpoint, const std::vector<std::uint64_t> &blocks)
{
    // In reverse order, so that the shortest prefixes become the most recently used.
    for (std::size_t i = blocks.size(); i > 0; --i) {
        add(now, endpoint, blocks[i - 1]);
    }
}

void PrefixIndex::recordMissing(const EndpointId &endpoint, const std::vector<std::uint64_t> &blocks, std::size_t first)
{
    for (std::size_t i = first; i < blocks.size(); ++i) {
        remove(endpoint, blocks[i]);
    }
}

void PrefixIndex::handleCacheEvent(
    TimePoint now, const EndpointId &endpoint, const std::string &generation, std::uint64_t sequence, bool wasStored, std::uint64_t block)
{
    EventSource &source = sources_[endpoint];
    if (source.generation != generation) {
        if (!source.generation.empty()) {
            removeEndpoint(endpoint);
        }
        source = {generation, sequence - 1};
    }
    if (sequence <= source.sequence) {
        return;
    }
    missedEvents_ += sequence - source.sequence - 1;
    source.sequence = sequence;
    if (wasStored) {
        add(now, endpoint, block);
    } else {
        remove(endpoint, block);
    }
}

void PrefixIndex::removeEndpoint(const EndpointId &endpoint)
{
    std::vector<std::uint64_t> hashes(lru_.begin(), lru_.end());
    for (const std::uint64_t block : hashes) {
        remove(endpoint, block);
    }
}

std::vector<PrefixIndex::Match> PrefixIndex::lookup(TimePoint now, const std::vector<std::uint64_t> &blocks) const
{
    std::vector<Match> matches;
    if (blocks.empty()) {
        return matches;
    }
    // Exponential search for the first block without a holder, then binary search.
    std::size_t matched = 0;
    std::size_t step = 1;
    while (matched + step <= blocks.size() && hasHolder(now, blocks[matched + step - 1])) {
        matched += step;
        updateMatches(now, blocks[matched - 1], matched, matches);
        step *= 2;
    }
    for (step = std::min(step, blocks.size() - matched); step > 0; step /= 2) {
        if (matched + step <= blocks.size() && hasHolder(now, blocks[matched + step - 1])) {
            matched += step;
            updateMatches(now, blocks[matched - 1], matched, matches);
        }
    }
    return matches;
}

std::size_t PrefixIndex::size() const
{
    return blocks_.size();
}

std::uint64_t PrefixIndex::missedEvents() const
{
    return missedEvents_;
}

void PrefixIndex::add(TimePoint now, const EndpointId &endpoint, std::uint64_t block)
{
    const auto [found, isNew] = blocks_.try_emplace(block);
    Block &entry = found->second;
    if (isNew) {
        lru_.push_front(block);
        entry.lruPosition = lru_.begin();
    } else {
        lru_.splice(lru_.begin(), lru_, entry.lruPosition);
    }
    std::erase_if(entry.holders, [&](const Holder &holder) { return holder.endpoint == endpoint || holder.expires <= now; });
    if (entry.holders.size() == MaxHolders) {
        entry.holders.erase(entry.holders.begin());
    }
    entry.holders.push_back({endpoint, now + EntryLifetime});
    if (blocks_.size() > maxBlocks_) {
        blocks_.erase(lru_.back());
        lru_.pop_back();
    }
}

void PrefixIndex::remove(const EndpointId &endpoint, std::uint64_t block)
{
    const auto found = blocks_.find(block);
    if (found == blocks_.end()) {
        return;
    }
    std::erase_if(found->second.holders, [&endpoint](const Holder &holder) { return holder.endpoint == endpoint; });
    if (found->second.holders.empty()) {
        lru_.erase(found->second.lruPosition);
        blocks_.erase(found);
    }
}

void PrefixIndex::updateMatches(TimePoint now, std::uint64_t block, std::size_t count, std::vector<Match> &matches) const
{
    for (const Holder &holder : blocks_.at(block).holders) {
        if (holder.expires <= now) {
            continue;
        }
        const auto found = std::find_if(matches.begin(), matches.end(), [&holder](const Match &match) { return match.endpoint == holder.endpoint; });
        if (found == matches.end()) {
            matches.push_back({holder.endpoint, count});
        } else {
            found->blocks = count;
        }
    }
}

bool PrefixIndex::hasHolder(TimePoint now, std::uint64_t block) const
{
    const auto found = blocks_.find(block);
    return found != blocks_.end()
        && std::any_of(found->second.holders.begin(), found->second.holders.end(), [now](const Holder &holder) { return holder.expires > now; });
}

}
