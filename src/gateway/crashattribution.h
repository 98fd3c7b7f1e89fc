#pragma once

#include "base/time.h"
#include "gateway/promptpart.h"
#include "gateway/recentstarts.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Lentillock
{

/// How far a run had come when its endpoint crashed.
enum class CrashedRunStage : std::uint8_t {
    ResponseStart, ///< A part of the response had arrived, and no event.
    Waiting, ///< Nothing had arrived. The run was waiting behind others, or what the endpoint had begun to write has not left its process.
};

namespace detail
{
class CrashExplanations;
}

/// A run whose endpoint crashed before its first event.
struct StartCrash {
    std::uint64_t run = 0; ///< Identifies the run in the fleet.
    std::uint64_t endpoint = 0; ///< Hash of the endpoint ID.
    TimePoint at{};
    PromptParts parts{}; ///< Shared parts of the prompt.
    std::uint16_t soundParts = 0; ///< Bit n is set if another run with part n has produced an event since.
    std::uint64_t promptHash = 0; ///< See PromptIdentity.
    bool isPromptSound = false; ///< Another run with the same prompt has produced an event since.
    CrashedRunStage stage = CrashedRunStage::ResponseStart;

    auto operator<=>(const StartCrash &) const = default;

    [[nodiscard]] bool implicates(const PromptPartId &part) const;
    [[nodiscard]] bool implicatesPrompt() const;
    [[nodiscard]] PromptIdentity prompt() const;
};

/// Requests are rejected because they crash endpoints: those with one prompt, or all those whose prompts contain certain parts.
struct PromptPartBlock {
    PromptParts parts{}; ///< In ascending order.
    std::uint64_t promptHash = 0; ///< 0: any prompt with the parts.
    std::uint32_t revision = 0; ///< Increases with each change; odd while the block is in force, even after its release.
    TimePoint since{}; ///< When it came into force, or was released.
    TimePoint until{}; ///< From then on, one request at a time may be tried.
    int failedTrials = 0;

    auto operator<=>(const PromptPartBlock &) const = default;

    [[nodiscard]] bool isInForce() const;
    [[nodiscard]] bool isForWholePrompt() const;
    /// Whether the block concerns requests with this prompt.
    [[nodiscard]] bool matches(const PromptIdentity &prompt) const;
    [[nodiscard]] bool matches(const StartCrash &crash) const;
    /// Whether both blocks concern the same requests.
    [[nodiscard]] bool hasSameSubject(const PromptPartBlock &other) const;
};

/// Evidence and blocks that VMs send to each other.
struct CrashAttributionUpdate {
    std::vector<StartCrash> crashes{};
    std::vector<PromptPartBlock> blocks{};

    auto operator<=>(const CrashAttributionUpdate &) const = default;

    [[nodiscard]] bool isEmpty() const;
};

/// A block that has come into force, was prolonged or was released, with the crashes that it is based on.
struct PromptPartBlockChange {
    PromptPartBlock block{};
    std::vector<StartCrash> crashes{};

    auto operator<=>(const PromptPartBlockChange &) const = default;
};

/// Whether a request may be sent to an endpoint.
struct PromptPartDecision {
    enum class Kind {
        Send,
        Try, ///< Send it; its outcome decides on a block.
        Reject,
    };
    Kind kind = Kind::Send;
    Duration retryAfter{}; ///< Until the block is reconsidered; set with Reject.

    auto operator<=>(const PromptPartDecision &) const = default;
};

/// Number of crashes of runs at the start of their responses after which parts are blocked. The crashes must be at least MinCrashInterval apart, because
/// crashes at the same time have a common cause, and must be on at least MinCrashedEndpoints endpoints.
inline constexpr std::size_t BlockingCrashes = 3;
inline constexpr Duration MinCrashInterval = 200ms;
inline constexpr std::size_t MinCrashedEndpoints = 2;

/// Number of crashes after which one prompt is blocked. Fewer than for parts, since a false block concerns only repetitions of that request.
inline constexpr std::size_t PromptBlockingCrashes = 2;

/// Weights of a crash as evidence, by the stage of the run. A sound run is more often waiting than at the start of its response when its endpoint crashes.
/// The weights are proportional to the logarithms of the greatest probabilities that docs/decisions/011 assumes for this, 1/20 and 1/6.
inline constexpr std::size_t ResponseStartWeight = 5;
inline constexpr std::size_t WaitingWeight = 3;
inline constexpr std::size_t BlockingWeight = BlockingCrashes * ResponseStartWeight;
inline constexpr std::size_t PromptBlockingWeight = PromptBlockingCrashes * ResponseStartWeight;

/// Time for which a crash counts.
inline constexpr Duration CrashRetention = 10min;

/// Longest time for which parts are blocked before a request with them is tried. The time doubles with each trial that crashes an endpoint.
inline constexpr Duration MaxBlockTime = 1h;

/// Limits on what is kept. Beyond them, the oldest crash, the block that is reconsidered first, and the part or prompt that has been seen least recently
/// are forgotten first.
inline constexpr std::size_t MaxStartCrashes = 256;
inline constexpr std::size_t MaxPromptPartBlocks = 32;
inline constexpr std::size_t MaxSoundParts = 4096;
inline constexpr std::size_t MaxSoundPrompts = 4096;

/// Finds the prompts, and the parts of prompts, that crash endpoints, and blocks them. Does no I/O.
///
/// A part that crashes endpoints crashes each one that begins to write a response to it. Evidence against a part are therefore the runs with it that
/// ended with a crash before their first event, unless any run with the part has produced an event since. Runs at the start of their responses weigh more
/// than those of which nothing had arrived, most of which were only waiting. The parts that all these runs have in common are blocked together, so that a
/// part is not blocked because it always accompanies another one. A crash that a block explains is no evidence against the parts of the other runs that it
/// ended.
///
/// The narrowest explanation is preferred: a prompt that has crashed endpoints more than once is blocked as a whole, and its shared parts only if other
/// prompts with them crash endpoints, too.
///
/// All evidence merges by set union, so the VMs of a fleet come to the same verdict regardless of the order in which they learn of it.
///
/// If a run ends with a crash at the start of its response with a probability of at most q, and while it waits with a probability of at most w, neither of
/// which depends on its parts, a sound part is blocked by three given consecutive runs with a probability of at most q^3, and by five with one of at most
/// w^5 (see docs/decisions/011-prompt-parts-that-crash-endpoints.md).
class CrashAttribution
{
public:
    /// Parts are blocked for @p initialBlockTime before a request with them is tried for the first time.
    explicit CrashAttribution(Duration initialBlockTime);

    /// Records a confirmed crash that ended a run of this VM.
    void recordCrash(const StartCrash &crash, TimePoint now);

    /// Whether a crash of the endpoint with the hash @p endpoint is known that can have ended a run at @p at.
    [[nodiscard]] bool hasCrashOf(std::uint64_t endpoint, TimePoint at) const;

    /// Records that a run of @p prompt has produced its first event.
    void recordStart(const PromptIdentity &prompt, TimePoint now);

    /// Decides on a request with @p prompt. Only one VM of the fleet should set @p mayTry.
    PromptPartDecision decide(const PromptIdentity &prompt, bool mayTry, TimePoint now);

    /// Whether requests with @p prompt are blocked.
    [[nodiscard]] bool isBlocked(const PromptIdentity &prompt) const;

    /// Whether one more crash of a request with @p prompt would block parts of it, so that a failed one should not be sent again.
    [[nodiscard]] bool isSuspected(const PromptIdentity &prompt) const;

    /// Applies what another VM knows.
    void merge(const CrashAttributionUpdate &update, TimePoint now);

    /// What this VM knows and others may need.
    [[nodiscard]] CrashAttributionUpdate update(TimePoint now) const;

    /// Whether this VM has recorded a crash, or changed a block, that it has not sent yet.
    [[nodiscard]] bool hasUnsentEvidence() const;
    /// Whether this VM knows of a block, or of a normal start of a suspected prompt or part, that it has neither sent nor received, or that another VM has
    /// not heard of. All VMs may know of it at the same time.
    [[nodiscard]] bool hasUnsentVerdicts() const;
    void markSent();

    /// Blocks that have changed since the last call.
    std::vector<PromptPartBlockChange> takeChanges();

    /// Discards what is too old, and judges evidence that other VMs have had time to add to. Called periodically.
    void expire(TimePoint now);

    [[nodiscard]] const std::vector<PromptPartBlock> &blocks() const;
    [[nodiscard]] std::size_t crashCount() const;

private:
    struct Evidence {
        StartCrash crash;
        std::uint16_t sharedSoundParts = 0; ///< Those of the sound parts that this VM has told since, or that the last message of another VM contained.
        bool isSharedPromptSound = false; ///< The same of the prompt.
    };
    using Crashes = std::vector<const StartCrash *>;

    /// Adds @p crash, or the sound parts of it if it is known.
    Evidence &addCrash(const StartCrash &crash);
    /// Notes that runs with @p prompt have started normally after the crashes before @p at. Returns whether that was unknown.
    bool markSound(const PromptIdentity &prompt, TimePoint at);
    void addBlock(PromptPartBlock block);
    void prolong(PromptPartBlock &block, TimePoint crashedAt);
    /// @p at is a time before the normal start that shows that the requests are sound, and as late as is known.
    void release(PromptPartBlock &block, TimePoint at);
    void reportChange(const PromptPartBlock &block);
    /// Returns whether requests are treated differently from now on.
    [[nodiscard]] bool mergeBlock(const PromptPartBlock &received);

    /// Blocks all prompts and parts against which there is enough evidence.
    void evaluate(TimePoint now);
    /// Releases the blocks whose evidence normal starts have refuted that were seen elsewhere, or that were seen before a crash of which this VM has heard
    /// only since.
    void releaseRefutedBlocks();
    void evaluatePrompts(TimePoint now);
    void evaluateParts(TimePoint now);
    /// The parts against which there is enough evidence. Those that the fewest runs of each incident contain, and that are the narrowest explanation, come
    /// first.
    [[nodiscard]] PromptParts suspectedParts(const detail::CrashExplanations &explanations, TimePoint now) const;

    /// What the blocks in force explain.
    [[nodiscard]] detail::CrashExplanations explanations() const;
    /// Number of crashes that implicate each part.
    [[nodiscard]] std::map<PromptPartId, std::size_t> implicationCounts() const;
    /// Crashes that are evidence against @p part, oldest first, without those that a block of other parts or prompts explains.
    [[nodiscard]] Crashes evidenceAgainst(const PromptPartId &part, const detail::CrashExplanations &explanations) const;
    [[nodiscard]] PromptPartBlock *findBlock(const PromptPartBlock &subject);

    Duration initialBlockTime_;
    std::map<std::uint64_t, Evidence> crashes_; ///< By run.
    std::vector<PromptPartBlock> blocks_;
    std::map<PromptIdentity, TimePoint> trials_; ///< When a request was last tried, by the subject of the block.
    detail::RecentStarts soundParts_;
    detail::RecentStarts soundPrompts_;
    std::vector<PromptPartBlockChange> changes_;
    bool hasUnsentEvidence_ = false;
    bool hasUnreportedRuns_ = false; ///< Other VMs may not have told yet which runs a crash has ended.
    std::map<PromptIdentity, std::uint32_t> unsentBlocks_; ///< Revisions of the blocks of this VM that it has neither sent nor received.
    bool hasOutdatedPeer_ = false; ///< Another VM has sent a block that has changed since.
};

}
