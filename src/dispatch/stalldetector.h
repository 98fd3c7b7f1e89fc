#pragma once

#include "base/time.h"
#include "dispatch/dispatchersettings.h"
#include "dispatch/messages.h"

#include <cstdint>
#include <optional>

namespace Lentillock
{

/// Notices that the stream of an attempt has gone silent and decides between waiting, resuming and giving up.
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

    /// The connection has ended early. The caller asks the endpoint at once whether the attempt can be resumed.
    void handleConnectionLoss(TimePoint now);

    Decision advance(TimePoint now);

    /// @p received: position up to which the answer has been received.
    Decision handleProbeResult(TimePoint now, const AttemptProbed &answer, std::uint64_t received);

    /// Whether another connection may be tried for the attempt; counts it.
    Decision resumeOrGiveUp();

    [[nodiscard]] TimePoint nextDue() const;

private:
    Duration stallTimeout_;
    Duration probeTimeout_;
    std::uint64_t maxResumes_;
    TimePoint lastProgressAt_;
    std::optional<TimePoint> probeSentAt_;
    bool connectionLost_ = false;
    std::uint64_t resumesWithoutProgress_ = 0; ///< Since the last progress.
};

}
