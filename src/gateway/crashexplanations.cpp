#include "gateway/crashexplanations.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Lentillock::detail
{

CrashExplanations::CrashExplanations(std::vector<const StartCrash *> crashes)
    : crashes_(std::move(crashes))
{
}

void CrashExplanations::add(const PromptPartBlock &block)
{
    if (byEndpoint_.empty()) {
        for (const StartCrash *crash : crashes_) {
            byEndpoint_[crash->endpoint].push_back(crash);
        }
    }
    for (const auto &[endpoint, crashes] : byEndpoint_) {
        std::vector<const StartCrash *> causes;
        std::copy_if(crashes.begin(), crashes.end(), std::back_inserter(causes), [&block](const StartCrash *crash) { return block.matches(*crash); });
        for (const StartCrash *cause : causes) {
            blockedParts_[cause->run].push_back(block.parts);
        }
        for (const StartCrash *crash : crashes) {
            const bool isVictim = !block.matches(*crash) && std::any_of(causes.begin(), causes.end(), [crash](const StartCrash *cause) {
                return std::chrono::abs(crash->at - cause->at) <= SameCrashTime;
            });
            if (isVictim) {
                victims_.insert(crash->run);
            }
        }
    }
}

bool CrashExplanations::isExplained(std::uint64_t run, const PromptPartId &part) const
{
    if (victims_.contains(run)) {
        return true;
    }
    const auto found = blockedParts_.find(run);
    return found != blockedParts_.end() && std::any_of(found->second.begin(), found->second.end(), [&part](const PromptParts &parts) {
               return std::find(parts.begin(), parts.end(), part) == parts.end();
           });
}

}
