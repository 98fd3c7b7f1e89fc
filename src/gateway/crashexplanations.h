#pragma once

#include "gateway/crashattribution.h"

#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Lentillock::detail
{

/// Losses of runs of one endpoint within this time have the same cause: VMs notice a crash at different moments, and an endpoint that ends slowly loses the
/// runs that it has accepted since only when its listener is closed. Shorter than a restart.
inline constexpr Duration SameCrashTime = 600ms;

/// Tells which crashes of endpoints are explained by blocks: those that have ended a run that the block concerns. Each crash has one cause, so it is no
/// evidence against other parts of the runs that it has ended.
class CrashExplanations
{
public:
    /// The crashes must outlive this object.
    explicit CrashExplanations(std::vector<const StartCrash *> crashes);

    void add(const PromptPartBlock &block);

    /// Whether the crash that has ended @p run is no evidence against @p part: a block concerns another run that it has ended, or this run without the part.
    /// A block does not explain away its own parts, because several blocked prompts may have one in common that explains them all.
    [[nodiscard]] bool isExplained(std::uint64_t run, const PromptPartId &part) const;

private:
    std::vector<const StartCrash *> crashes_;
    std::unordered_map<std::uint64_t, std::vector<const StartCrash *>> byEndpoint_; ///< Empty until the first block is added.
    std::unordered_map<std::uint64_t, std::vector<PromptParts>> blockedParts_; ///< By run, the parts of the blocks that concern it.
    std::unordered_set<std::uint64_t> victims_; ///< Runs that ended with a run that a block concerns.
};

}
