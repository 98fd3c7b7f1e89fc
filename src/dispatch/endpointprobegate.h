#pragma once

#include "dispatch/dispatchersettings.h"
#include "dispatch/messages.h"

#include <map>
#include <optional>

namespace Lentillock
{

/// While no control process is reachable, allows new work only for endpoints whose state was observed recently.
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

    /// Records that a control process sent or confirmed the view at @p at.
    void recordControlContact(TimePoint at);

    /// Returns true if no control process is reachable, so endpoints must be probed before they get new work.
    [[nodiscard]] bool isProbingRequired(TimePoint now) const;

    /// Returns true if there is no view, or it is too old to accept new requests.
    [[nodiscard]] bool isViewExpired(TimePoint now) const;

    /// @p state is the endpoint's state in the view, or null.
    [[nodiscard]] Readiness readiness(TimePoint now, const EndpointId &endpoint, const EndpointState *state) const;

    void probeSent(TimePoint now, const EndpointId &endpoint);
    void probeAnswered(TimePoint now, const EndpointProbed &answer);

    /// Returns the state from the last answered probe, or null.
    [[nodiscard]] const EndpointState *probedState(const EndpointId &endpoint) const;

private:
    struct Probe {
        std::optional<TimePoint> sentAt; ///< Set while the probe is unanswered.
        std::optional<TimePoint> failedAt; ///< When the last probe was reported as unanswered.
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
