#include "gateway/crashevidence.h"

#include "gateway/crashexplanations.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>

namespace Lentillock::detail
{

namespace
{

/// Used instead of MinCrashInterval and MinPromptCrashInterval for what is blocked. VMs know the time of a crash only to within the transmission of its
/// report, so with one interval some would release what others have just blocked.
constexpr Duration MinCrashIntervalOfBlock = MinCrashInterval / 2;
constexpr Duration MinPromptCrashIntervalOfBlock = MinPromptCrashInterval / 2;

/// Runs that waited are evidence against parts only after this time, in which all VMs have told what the crash has ended: what the victims have in common
/// must not be blamed before the run that explains more is known. Allows for the repetition of a lost report.
constexpr Duration ReportTime = 200ms;

/// Sum of the largest weights of each of @p incidents.
std::size_t weightOf(const std::vector<Crashes> &incidents)
{
    std::size_t weight = 0;
    for (const Crashes &incident : incidents) {
        const bool hasResponse
            = std::any_of(incident.begin(), incident.end(), [](const StartCrash *crash) { return crash->stage == CrashedRunStage::ResponseStart; });
        weight += hasResponse ? ResponseStartWeight : WaitingWeight;
    }
    return weight;
}

/// Whether runs of one prompt were among the crashes of all @p incidents, so that this prompt alone explains them.
bool haveCommonPrompt(const std::vector<Crashes> &incidents)
{
    return std::any_of(incidents.front().begin(), incidents.front().end(), [&incidents](const StartCrash *candidate) {
        return candidate->promptHash != 0 && std::all_of(incidents.begin(), incidents.end(), [candidate](const Crashes &incident) {
                   return std::any_of(
                       incident.begin(), incident.end(), [candidate](const StartCrash *crash) { return crash->promptHash == candidate->promptHash; });
               });
    });
}

/// Those of @p crashes for which @p implicates is true, in the same order.
template<typename Predicate>
Crashes filtered(const Crashes &crashes, Predicate implicates)
{
    Crashes result;
    std::copy_if(crashes.begin(), crashes.end(), std::back_inserter(result), implicates);
    return result;
}

}

std::size_t endpointCount(const Crashes &crashes)
{
    std::set<std::uint64_t> endpoints;
    for (const StartCrash *crash : crashes) {
        endpoints.insert(crash->endpoint);
    }
    return endpoints.size();
}

std::vector<Crashes> incidentsOf(const Crashes &crashes, Duration interval)
{
    struct EndpointCrash {
        TimePoint at{};
        std::size_t incident = 0;
    };
    std::vector<Crashes> incidents;
    std::map<std::uint64_t, EndpointCrash> lastCrashes; // By endpoint.
    for (const StartCrash *crash : crashes) {
        const auto last = lastCrashes.find(crash->endpoint);
        if (last != lastCrashes.end() && crash->at - last->second.at <= SameCrashTime) {
            incidents[last->second.incident].push_back(crash);
            continue;
        }
        if (incidents.empty() || crash->at - incidents.back().front()->at >= interval) {
            incidents.emplace_back();
        }
        incidents.back().push_back(crash);
        lastCrashes[crash->endpoint] = {.at = crash->at, .incident = incidents.size() - 1};
    }
    return incidents;
}

bool areSufficient(const Crashes &crashes, Duration interval)
{
    const std::vector<Crashes> incidents = incidentsOf(crashes, interval);
    return weightOf(incidents) >= BlockingWeight && endpointCount(crashes) >= MinCrashedEndpoints && !haveCommonPrompt(incidents);
}

bool areSufficientForPrompt(const Crashes &crashes, Duration interval)
{
    if (crashes.empty() || endpointCount(crashes) < MinCrashedEndpoints) {
        return false;
    }
    const std::size_t neededWeight = crashes.front()->parts.empty() ? BlockingWeight : PromptBlockingWeight;
    return weightOf(incidentsOf(crashes, interval)) >= neededWeight;
}

bool isEarlier(const StartCrash *left, const StartCrash *right)
{
    return left->at < right->at;
}

bool isReported(const StartCrash &crash, TimePoint now)
{
    return crash.stage != CrashedRunStage::Waiting || now - crash.at >= ReportTime;
}

Crashes reported(const Crashes &crashes, TimePoint now)
{
    return filtered(crashes, [now](const StartCrash *crash) { return isReported(*crash, now); });
}

std::optional<TimePoint> refutation(const PromptPartBlock &block, const Crashes &matching)
{
    std::optional<TimePoint> startedAfter;
    // Evidence that is no longer known, because it is old, refutes nothing.
    const auto isRefuted = [&](const auto &implicates, const auto &areEnough) {
        const Crashes cleared = filtered(matching, [&](const StartCrash *crash) { return !implicates(crash); });
        if (cleared.empty() || areEnough(filtered(matching, implicates))) {
            return false;
        }
        startedAfter = std::max(startedAfter.value_or(TimePoint()), cleared.back()->at);
        return true;
    };
    bool isBlockRefuted = false;
    if (block.isForWholePrompt()) {
        isBlockRefuted = isRefuted([](const StartCrash *crash) { return crash->implicatesPrompt(); },
                                   [](const Crashes &crashes) { return areSufficientForPrompt(crashes, MinPromptCrashIntervalOfBlock); });
    } else {
        isBlockRefuted = std::all_of(block.parts.begin(), block.parts.end(), [&](const PromptPartId &part) {
            return isRefuted([&part](const StartCrash *crash) { return crash->implicates(part); },
                             [](const Crashes &crashes) { return areSufficient(crashes, MinCrashIntervalOfBlock); });
        });
    }
    return isBlockRefuted ? startedAfter : std::nullopt;
}

PromptParts commonParts(const Crashes &crashes)
{
    PromptParts common;
    for (const PromptPartId &part : crashes.front()->parts) {
        if (std::all_of(crashes.begin(), crashes.end(), [&part](const StartCrash *crash) { return crash->implicates(part); })) {
            common.push_back(part);
        }
    }
    std::sort(common.begin(), common.end());
    common.erase(std::unique(common.begin(), common.end()), common.end());
    return common;
}

}
