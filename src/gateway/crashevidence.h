#pragma once

#include "gateway/crashattribution.h"

#include <cstddef>
#include <optional>
#include <vector>

/// How much evidence the crashes are that ended certain runs. Functions of values; CrashAttribution decides by them.
namespace Lentillock::detail
{

/// Crashes of runs with one prompt that are closer together have a common cause. Shorter than MinCrashInterval, because a request that is sent again after
/// a crash reaches the next endpoint soon.
inline constexpr Duration MinPromptCrashInterval = 100ms;

/// Runs that crashes have ended.
using Crashes = std::vector<const StartCrash *>;

/// Orders crashes by their times.
[[nodiscard]] bool isEarlier(const StartCrash *left, const StartCrash *right);

/// Number of endpoints that have crashed.
[[nodiscard]] std::size_t endpointCount(const Crashes &crashes);

/// Divides @p crashes, which are in the order of their times, into incidents that are at least @p interval apart. Runs that one crash of an endpoint has
/// ended are in the same incident.
[[nodiscard]] std::vector<Crashes> incidentsOf(const Crashes &crashes, Duration interval);

/// Whether @p crashes, which are in the order of their times and have a part in common, show that this part crashes endpoints.
[[nodiscard]] bool areSufficient(const Crashes &crashes, Duration interval);

/// Whether @p crashes, which are in the order of their times and of runs with one prompt, show that this prompt crashes endpoints. Requests without shared
/// parts, such as calls, may be equal although they are sound and frequent; they need as many crashes as parts do.
[[nodiscard]] bool areSufficientForPrompt(const Crashes &crashes, Duration interval);

/// Whether all VMs have had the time to tell which runs the crash has ended that ended @p crash.
[[nodiscard]] bool isReported(const StartCrash &crash, TimePoint now);

/// Those of @p crashes for which this is so.
[[nodiscard]] Crashes reported(const Crashes &crashes, TimePoint now);

/// Whether normal starts that are known now leave too little evidence for @p block among @p matching, the crashes of requests that it concerns, in the
/// order of their times. Returns the time of the last of these crashes that such a start followed.
[[nodiscard]] std::optional<TimePoint> refutation(const PromptPartBlock &block, const Crashes &matching);

/// The parts that all @p crashes have in common and that none of them has shown to be sound, in ascending order.
[[nodiscard]] PromptParts commonParts(const Crashes &crashes);

}
