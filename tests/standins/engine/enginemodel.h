#pragma once

#include "base/time.h"
#include "standins/engine/prefixcache.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lentillock
{

struct EngineSettings {
    std::uint64_t memoryTokens = 400'000; ///< KV cache for running requests and allocations.
    std::uint64_t cacheTokens = 200'000; ///< Prompt prefixes kept after their request has ended.
    std::uint64_t chunkTokens = 1024; ///< Prompt tokens that are prefilled in one step.
    std::size_t maxBatch = 64;
    Duration stepBase = 5ms;
    Duration stepPerSequence = 100us;
    Duration stepPerPrefillToken = 20us;
    std::uint64_t doublingContext = 500'000; ///< Context at which a prefill token takes twice as long, because of attention.
    Duration reportLag = 200ms;
    Duration cacheEventLag = 300ms;
    std::uint64_t cacheEventLossInterval = 50; ///< One cache event in this many is lost.
    bool checksFencing = true;
};

struct EngineRequest {
    std::string id;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxTokens = 0; ///< Length of the whole answer. 0: prefill only.
    std::uint64_t firstPosition = 0; ///< Tokens of the answer that an earlier attempt generated.
    std::int64_t priority = 0;
    std::vector<std::uint64_t> prefixBlocks; ///< Salted.
    std::uint64_t importedTokens = 0; ///< Context whose KV cache comes from other engines.
    std::string allocation; ///< Uses this allocation's memory instead of taking new memory.
};

enum class EngineRequestPhase {
    Queued,
    Prefilling,
    Decoding,
    Finished,
};

struct EngineRequestStatus {
    EngineRequestPhase phase = EngineRequestPhase::Queued;
    std::uint64_t position = 0;
    std::uint64_t cachedTokens = 0;
};

struct EngineEvent {
    enum class Kind {
        FirstToken,
        Finished,
    };

    Kind kind = Kind::FirstToken;
    std::string request;
    TimePoint at;
};

struct EngineLoad {
    std::uint64_t totalTokens = 0;
    std::uint64_t freeTokens = 0;
    std::uint64_t queuedTokens = 0;
    std::uint64_t running = 0;
    TimePoint measuredAt;
};

struct EngineAllocation {
    std::string owner;
    std::uint64_t tokens = 0;
    std::int64_t deadlineMs = 0; ///< As given by the owner.
};

struct EngineOrder {
    std::uint64_t fencing = 0;
    std::string generation;
    std::string model;
    std::string version;
    std::string role;
    bool ifIdle = false;
};

enum class EngineOrderResult {
    Done,
    StaleFencing,
    WrongGeneration,
    Busy,
};

/// Deterministic model of an engine with continuous batching, chunked prefill and a prefix cache.
///
/// Time is an argument and must not go back. Functions that change the model first advance it to the time given.
class EngineModel
{
public:
    EngineModel(EngineSettings settings, std::string generation, TimePoint start);

    /// Returns false when the request can never fit, when it names an unknown allocation or when its id is in use.
    bool submit(TimePoint now, const EngineRequest &request);
    bool cancel(TimePoint now, const std::string &id);

    void advance(TimePoint now);
    /// End of the current step; nothing while the engine is idle.
    [[nodiscard]] std::optional<TimePoint> nextStepEnd() const;
    /// Events since the last call, in order of time.
    std::vector<EngineEvent> takeEvents();

    [[nodiscard]] std::optional<EngineRequestStatus> status(const std::string &id) const;
    void forget(const std::string &id);

    bool allocate(TimePoint now, const std::string &id, const EngineAllocation &allocation);
    bool release(TimePoint now, const std::string &id);
    [[nodiscard]] const std::map<std::string, EngineAllocation> &allocations() const;

    /// The load as it was `reportLag` before @p now.
    [[nodiscard]] EngineLoad load(TimePoint now) const;
    [[nodiscard]] std::vector<CacheEvent> cacheEvents(TimePoint now, std::uint64_t after) const;

    EngineOrderResult order(TimePoint now, const EngineOrder &order);
    [[nodiscard]] const EngineOrder &lastOrder() const;
    [[nodiscard]] const std::string &generation() const;
    [[nodiscard]] const EngineSettings &settings() const;

private:
    struct Work {
        EngineRequest request;
        EngineRequestPhase phase = EngineRequestPhase::Queued;
        std::uint64_t arrival = 0; ///< Sequence number.
        std::uint64_t heldTokens = 0;
        std::uint64_t cachedTokens = 0;
        std::uint64_t prefilled = 0;
        std::uint64_t chunk = 0; ///< Prompt tokens of the current step.
        std::uint64_t position = 0;
    };

    /// Admits waiting requests when nothing runs, for example after memory has been released.
    void startIfIdle(TimePoint now);
    void beginStep(TimePoint now);
    void endStep();
    void admitQueued();
    void admit(Work &work);
    Duration assignChunks();
    void finishChunk(Work &work);
    void decodeToken(Work &work);
    void finish(Work &work);
    void recordLoad(TimePoint now);
    [[nodiscard]] std::uint64_t neededTokens(const EngineRequest &request) const;

    EngineSettings settings_;
    std::string generation_;
    PrefixCache cache_;
    std::uint64_t freeTokens_;
    std::uint64_t arrivals_ = 0;
    std::map<std::string, Work> works_;
    std::vector<Work *> queue_; ///< In order of priority and arrival.
    std::vector<Work *> batch_; ///< In order of priority and arrival.
    std::optional<TimePoint> stepEnd_;
    std::vector<EngineEvent> events_;
    std::deque<EngineLoad> loads_;
    std::map<std::string, EngineAllocation> allocations_;
    EngineOrder lastOrder_;
};

}
