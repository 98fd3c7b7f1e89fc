#include "dispatch/stalldetector.h"

namespace Lentillock
{

StallDetector::StallDetector(const DispatcherSettings &settings, TimePoint now)
    : stallTimeout_(settings.stallTimeout)
    , probeTimeout_(settings.probeTimeout)
    , maxResumes_(settings.maxResumesWithoutProgress)
    , lastProgressAt_(now)
{
}

void StallDetector::recordProgress(TimePoint now)
{
    lastProgressAt_ = now;
    probeSentAt_.reset();
    connectionLost_ = false;
    resumesWithoutProgress_ = 0;
}

void StallDetector::recordResumption(TimePoint now)
{
    lastProgressAt_ = now;
    probeSentAt_.reset();
    connectionLost_ = false;
}

void StallDetector::handleConnectionLoss(TimePoint now)
{
    probeSentAt_ = now;
    connectionLost_ = true;
}

StallDetector::Decision StallDetector::advance(TimePoint now)
{
    if (now < nextDue()) {
        return Decision::Wait;
    }
    if (probeSentAt_) {
        return Decision::GiveUp;
    }
    probeSentAt_ = now;
    return Decision::Probe;
}

StallDetector::Decision StallDetector::handleProbeResult(TimePoint now, const AttemptProbed &answer, std::uint64_t received)
{
    if (!probeSentAt_) {
        return Decision::Wait; // The stream has made progress since the probe was sent.
    }
    switch (answer.state) {
    case EngineRequestState::NotKnown:
    case EngineRequestState::NoAnswer:
        return Decision::GiveUp;
    case EngineRequestState::Finished:
        return resumeOrGiveUp();
    case EngineRequestState::Queued:
    case EngineRequestState::Running:
        break;
    }
    if (connectionLost_ || answer.position > received) {
        return resumeOrGiveUp();
    }
    lastProgressAt_ = now;
    probeSentAt_.reset();
    return Decision::Wait;
}

StallDetector::Decision StallDetector::resumeOrGiveUp()
{
    resumesWithoutProgress_ += 1;
    return resumesWithoutProgress_ > maxResumes_ ? Decision::GiveUp : Decision::Resume;
}

TimePoint StallDetector::nextDue() const
{
    return probeSentAt_ ? *probeSentAt_ + probeTimeout_ : lastProgressAt_ + stallTimeout_;
}

}
