#pragma once

#include "base/time.h"
#include "dispatch/dispatchersettings.h"
#include "dispatch/messages.h"

#include <cstdint>
#include <optional>

namespace Lentillock
{

/// Detects that the stream of an attempt has stalled, and decides whether to wait, probe, resume or give up.
class StallDetector
{
public:
    enum class Decision {
        Wait,
        Probe,
        Resume,
        GiveUp,
    };

    StallDetector(const DispatcherSettings &settings, TimePoint now);

    void recordProgress(TimePoint now);
    void recordResumption(TimePoint now);

    /// The connection was lost before the end of the answer. The caller must probe the attempt immediately to find out whether it can be resumed.
    void handleConnectionLoss(TimePoint now);

    /// Returns the decision that is due at @p now.
    Decision advance(TimePoint now);

    /// @p received is the position up to which the answer has been received.
    Decision handleProbeResult(TimePoint now, const AttemptProbed &answer, std::uint64_t received);

    /// Counts a resumption. Returns GiveUp if the attempt has already been resumed too often without progress, else Resume.
    Decision resumeOrGiveUp();

    [[nodiscard]] TimePoint nextDue() const;

private:
    Duration stallTimeout_;
    Duration probeTimeout_;
    std::uint64_t maxResumes_;
    TimePoint lastProgressAt_;
    std::optional<TimePoint> probeSentAt_;
    bool connectionLost_ = false;
    std::uint64_t resumesWithoutProgress_ = 0; ///< Number of resumptions since the last progress.
};

}
