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
    std::uint64_t memoryTokens = 400'000; ///< Capacity of the KV cache for running requests and allocations.
    std::uint64_t cacheTokens = 200'000; ///< Capacity of the prefix cache, whose entries outlive their requests.
    std::uint64_t chunkTokens = 1024; ///< Maximum number of prompt tokens prefilled in one step.
    std::size_t maxBatch = 64;
    Duration stepBase = 5ms;
    Duration stepPerSequence = 100us;
    Duration stepPerPrefillToken = 20us;
    std::uint64_t doublingContext = 500'000; ///< Context length at which the cost of attention doubles the time per prefill token.
    Duration reportLag = 200ms;
    Duration cacheEventLag = 300ms;
    std::uint64_t cacheEventLossInterval = 50; ///< Every n-th cache event is lost; 0 loses none.
    bool checksFencing = true;
};

struct EngineRequest {
    std::string id;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxTokens = 0; ///< Length of the complete output, including the part before firstPosition. 0: prefill only.
    std::uint64_t firstPosition = 0; ///< Number of output tokens that an earlier attempt generated.
    std::int64_t priority = 0;
    std::vector<std::uint64_t> prefixBlocks; ///< Hashes that include the cache salt.
    std::uint64_t importedTokens = 0; ///< Context tokens whose KV cache is imported from other engines.
    std::string allocation; ///< If not empty, the request uses this allocation's memory instead of reserving its own.
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
    std::int64_t deadlineMs = 0; ///< Value set by the owner; the model does not enforce it.
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
/// Callers pass the time, which must not decrease. Functions that change the model first advance it to that time.
class EngineModel
{
public:
    EngineModel(EngineSettings settings, std::string generation, TimePoint start);

    /// Returns false if the request exceeds the total memory, names an unknown allocation or has an id that is in use.
    bool submit(TimePoint now, const EngineRequest &request);
    bool cancel(TimePoint now, const std::string &id);

    void advance(TimePoint now);
    /// Returns the end of the current step, or nothing if the engine is idle.
    [[nodiscard]] std::optional<TimePoint> nextStepEnd() const;
    /// Returns and removes the events since the last call, in chronological order.
    std::vector<EngineEvent> takeEvents();

    [[nodiscard]] std::optional<EngineRequestStatus> status(const std::string &id) const;
    /// Removes a finished request; its status is unknown from then on.
    void removeFinished(const std::string &id);

    bool allocate(TimePoint now, const std::string &id, const EngineAllocation &allocation);
    bool release(TimePoint now, const std::string &id);
    [[nodiscard]] const std::map<std::string, EngineAllocation> &allocations() const;

    /// Returns the load as it was EngineSettings::reportLag before @p now.
    [[nodiscard]] EngineLoad load(TimePoint now) const;
    [[nodiscard]] std::vector<CacheEvent> cacheEvents(TimePoint now, std::uint64_t after) const;

    EngineOrderResult order(TimePoint now, const EngineOrder &order);
    [[nodiscard]] const EngineOrder &lastOrder() const;
    [[nodiscard]] const std::string &generation() const;
    [[nodiscard]] const EngineSettings &settings() const;

private:
    struct ScheduledRequest {
        EngineRequest request;
        EngineRequestPhase phase = EngineRequestPhase::Queued;
        std::uint64_t arrival = 0; ///< Sequence number.
        std::uint64_t reservedTokens = 0;
        std::uint64_t cachedTokens = 0;
        std::uint64_t prefilledTokens = 0;
        std::uint64_t chunk = 0; ///< Prompt tokens to be prefilled in the current step.
        std::uint64_t position = 0;
    };

    /// Starts a step with the queued requests if no step is running, for example after memory has been released.
    void startIfIdle(TimePoint now);
    void beginStep(TimePoint now);
    void endStep();
    void admitQueued();
    void admit(ScheduledRequest &scheduled);
    Duration assignChunks();
    void finishChunk(ScheduledRequest &scheduled);
    void decodeToken(ScheduledRequest &scheduled);
    void finish(ScheduledRequest &scheduled);
    void recordLoad(TimePoint now);
    [[nodiscard]] std::uint64_t requiredTokens(const EngineRequest &request) const;

    EngineSettings settings_;
    std::string generation_;
    PrefixCache cache_;
    std::uint64_t freeTokens_;
    std::uint64_t arrivals_ = 0;
    std::map<std::string, ScheduledRequest> requests_;
    std::vector<ScheduledRequest *> queue_; ///< Sorted by priority, then by arrival.
    std::vector<ScheduledRequest *> batch_; ///< Sorted by priority, then by arrival.
    std::optional<TimePoint> stepEnd_;
    std::vector<EngineEvent> events_;
    std::deque<EngineLoad> loads_;
    std::map<std::string, EngineAllocation> allocations_;
    EngineOrder lastOrder_;
};

}
