#include "standins/platform/faults.h"

#include "base/findings.h"
#include "base/jsonreader.h"

#include <cstdlib>
#include <functional>
#include <tuple>
#include <utility>

namespace Lentillock
{

namespace
{

/// Duration of a fault without "durationMs". In practice it lasts until a "none" fault.
constexpr std::int64_t UnlimitedMs = 24LL * 3600 * 1000;
constexpr std::int64_t MaxCount = 1'000'000;

}

std::string Faults::inject(const std::string &body, TimePoint now)
{
    Findings findings;
    const auto value = parseJson(body, "fault", findings);
    if (!value) {
        return findings.toText();
    }
    JsonReader reader(*value, "fault", "", findings);
    const std::string fault = reader.requiredString("fault");
    const std::string service = reader.string("service", {});
    const TimePoint until = now + milliseconds(reader.integer("durationMs", UnlimitedMs, 0, UnlimitedMs));
    const milliseconds delay(reader.integer("delayMs", 0, 0, UnlimitedMs));
    const std::int64_t count = reader.integer("count", 1, 0, MaxCount);
    reader.finish();
    const std::map<std::string, std::function<void(State &)>> actions{
        {"outage", [&](State &state) { state.outageUntil = until; }},
        {"loseAnswers", [&](State &state) { state.responsesToDrop = count; }},
        {"freeze", [&](State &state) { state.frozenUntil = until; }},
        {"slow", [&](State &state) { std::tie(state.slowUntil, state.delay) = std::pair(until, Duration(delay)); }},
        {"die", [&](State &) { std::_Exit(1); }},
        {"none", [&](State &state) { state = {}; }},
    };
    const auto action = actions.find(fault);
    if (action == actions.end()) {
        reader.addError("fault", "is not a known fault");
    }
    if (!service.empty() && !services_.contains(service)) {
        reader.addError("service", "is not a known service");
    }
    if (findings.hasErrors()) {
        return findings.toText();
    }
    const std::lock_guard lock(mutex_);
    for (auto &[name, state] : services_) {
        if (service.empty() || service == name) {
            action->second(state);
        }
    }
    return {};
}

Faults::Effect Faults::effectOn(const std::string &service, bool isWrite, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    State &state = services_[service];
    Effect effect;
    effect.refuse = now < state.outageUntil;
    effect.executeAt = state.frozenUntil;
    if (now < state.slowUntil) {
        effect.responseDelay = state.delay;
    }
    if (isWrite && !effect.refuse && state.responsesToDrop > 0) {
        --state.responsesToDrop;
        effect.dropResponse = true;
    }
    return effect;
}

TimePoint Faults::frozenUntil(const std::string &service)
{
    const std::lock_guard lock(mutex_);
    return services_[service].frozenUntil;
}

}
