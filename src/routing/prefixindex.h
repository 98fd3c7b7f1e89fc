#pragma once

#include "base/identifier.h"
#include "base/time.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace Lentillock
{

/// Which endpoints probably hold the KV cache of which prompt prefixes. Bounded memory; the least recently used blocks are dropped.
///
/// Knowledge comes from what this entry has sent and from the engines' cache events. Events come late and with gaps, so all
/// knowledge expires unless it is confirmed. Block hashes contain the salt of the sharing group; prefixes of different groups
/// have no block in common.
class PrefixIndex
{
public:
    /// Number of leading blocks that an endpoint probably holds.
    struct Match {
        EndpointId endpoint;
        std::size_t blocks = 0;
    };

    explicit PrefixIndex(std::size_t maxBlocks);

    /// The endpoint has computed, or will soon have computed, these blocks.
    void stored(TimePoint now, const EndpointId &endpoint, const std::vector<std::uint64_t> &blocks);
    /// The endpoint does not hold the blocks from index @p first on.
    void missed(const EndpointId &endpoint, const std::vector<std::uint64_t> &blocks, std::size_t first);

    /// A cache event. @p sequence is 1 or more and rises within a @p generation of the endpoint; a new generation forgets the endpoint.
    void cacheEvent(TimePoint now, const EndpointId &endpoint, const std::string &generation, std::uint64_t sequence, bool wasStored, std::uint64_t block);

    void forget(const EndpointId &endpoint);

    /// Endpoints that probably hold at least the first block. Looks at a number of blocks that grows with the logarithm of the prompt.
    [[nodiscard]] std::vector<Match> lookup(TimePoint now, const std::vector<std::uint64_t> &blocks) const;

    [[nodiscard]] std::size_t size() const;
    /// Events that never came.
    [[nodiscard]] std::uint64_t missedEvents() const;

private:
    static constexpr Duration Lifetime = 120s;
    static constexpr std::size_t MaxHolders = 8; ///< Endpoints remembered per block.

    struct Holder {
        EndpointId endpoint;
        TimePoint expires;
    };

    struct Block {
        std::vector<Holder> holders;
        std::list<std::uint64_t>::iterator recent;
    };

    struct EventSource {
        std::string generation;
        std::uint64_t sequence = 0;
    };

    void add(TimePoint now, const EndpointId &endpoint, std::uint64_t block);
    void remove(const EndpointId &endpoint, std::uint64_t block);
    void raiseMatches(TimePoint now, std::uint64_t block, std::size_t count, std::vector<Match> &matches) const;
    [[nodiscard]] bool isHeld(TimePoint now, std::uint64_t block) const;

    std::size_t maxBlocks_;
    std::uint64_t missedEvents_ = 0;
    std::unordered_map<std::uint64_t, Block> blocks_;
    std::list<std::uint64_t> recent_; ///< Most recently used first.
    std::unordered_map<EndpointId, EventSource> sources_;
};

}
