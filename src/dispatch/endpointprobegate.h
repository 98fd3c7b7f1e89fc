#pragma once

#include "dispatch/dispatchersettings.h"
#include "dispatch/messages.h"

#include <map>
#include <optional>

namespace Lentillock
{

/// While no control process answers, admits new work only to endpoints whose state has been seen recently.
class EndpointProbeGate
{
public:
    enum class Readiness {
        Ready,
        NeedsProbe,
        Probing,
        Unreachable, ///< The last probe was not answered.
    };

    explicit EndpointProbeGate(const DispatcherSettings &settings);

    /// A control process vouched for the view at @p at.
    void recordControlContact(TimePoint at);

    /// Whether no control process answers.
    [[nodiscard]] bool isProbingRequired(TimePoint now) const;

    /// Whether the view is too old to accept new requests, or there is none.
    [[nodiscard]] bool isViewExpired(TimePoint now) const;

    /// @p state is the view's, or null.
    [[nodiscard]] Readiness readiness(TimePoint now, const EndpointId &endpoint, const EndpointState *state) const;

    void probeSent(TimePoint now, const EndpointId &endpoint);
    void probeAnswered(TimePoint now, const EndpointProbed &answer);

    /// State according to the last answered probe, or null.
    [[nodiscard]] const EndpointState *probedState(const EndpointId &endpoint) const;

private:
    struct Probe {
        std::optional<TimePoint> sentAt; ///< Not yet answered.
        std::optional<TimePoint> failedAt;
        std::optional<EndpointState> state;
    };

    [[nodiscard]] bool isRecent(TimePoint now, TimePoint observed) const;

    Duration controlTimeout_;
    Duration maxViewAge_;
    Duration maxStateAge_;
    Duration probeTimeout_;
    std::optional<TimePoint> lastControlContact_;
    std::map<EndpointId, Probe> probes_;
};

}
