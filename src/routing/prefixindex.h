#pragma once

#include "base/identifier.h"
#include "base/time.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace Lentillock
{

/// Tracks which endpoints probably have which prompt prefixes in their KV cache. Bounded; evicts the least recently used blocks.
///
/// Index entries come from the requests that this process has sent and from the cache events of engines. Events can be late or lost, so an entry
/// expires unless it is renewed. Block hashes include the salt of the sharing group, so prefixes of different groups have no block in common.
class PrefixIndex
{
public:
    /// Number of leading blocks of a prompt that an endpoint probably holds.
    struct Match {
        EndpointId endpoint;
        std::size_t blocks = 0;
    };

    explicit PrefixIndex(std::size_t maxBlocks);

    /// Records that the endpoint has computed these blocks or will do so soon.
    void recordStored(TimePoint now, const EndpointId &endpoint, const std::vector<std::uint64_t> &blocks);
    /// Records that the endpoint does not hold the blocks from index @p first on.
    void recordMissing(const EndpointId &endpoint, const std::vector<std::uint64_t> &blocks, std::size_t first);

    /// Handles a cache event. @p sequence starts at 1 and increases within a @p generation of the endpoint. A new generation drops all entries
    /// of the endpoint.
    void
    handleCacheEvent(TimePoint now, const EndpointId &endpoint, const std::string &generation, std::uint64_t sequence, bool wasStored, std::uint64_t block);

    void removeEndpoint(const EndpointId &endpoint);

    /// Returns the endpoints that probably hold at least the first block. Takes O(log n) block lookups for n blocks.
    [[nodiscard]] std::vector<Match> lookup(TimePoint now, const std::vector<std::uint64_t> &blocks) const;

    [[nodiscard]] std::size_t size() const;
    /// Number of cache events that were lost, judging by gaps in the sequence numbers.
    [[nodiscard]] std::uint64_t missedEvents() const;

private:
    static constexpr Duration EntryLifetime = 120s;
    static constexpr std::size_t MaxHolders = 8; ///< Maximum number of endpoints per block.

    struct Holder {
        EndpointId endpoint;
        TimePoint expires;
    };

    struct Block {
        std::vector<Holder> holders;
        std::list<std::uint64_t>::iterator lruPosition;
    };

    struct EventSource {
        std::string generation;
        std::uint64_t sequence = 0;
    };

    void add(TimePoint now, const EndpointId &endpoint, std::uint64_t block);
    void remove(const EndpointId &endpoint, std::uint64_t block);
    void updateMatches(TimePoint now, std::uint64_t block, std::size_t count, std::vector<Match> &matches) const;
    [[nodiscard]] bool hasHolder(TimePoint now, std::uint64_t block) const;

    std::size_t maxBlocks_;
    std::uint64_t missedEvents_ = 0;
    std::unordered_map<std::uint64_t, Block> blocks_;
    std::list<std::uint64_t> lru_; ///< Most recently used first.
    std::unordered_map<EndpointId, EventSource> sources_;
};

}
