#include "dispatch/silencemonitor.h"

namespace Lentillock
{

SilenceMonitor::SilenceMonitor(const DispatcherSettings &settings, TimePoint now)
    : silenceLimit_(settings.silenceLimit)
    , probeTimeout_(settings.probeTimeout)
    , maxResumes_(settings.maxResumesWithoutProgress)
    , quietSince_(now)
{
}

void SilenceMonitor::progressMade(TimePoint now)
{
    quietSince_ = now;
    probedAt_.reset();
    connectionLost_ = false;
    resumes_ = 0;
}

void SilenceMonitor::resumed(TimePoint now)
{
    quietSince_ = now;
    probedAt_.reset();
    connectionLost_ = false;
}

void SilenceMonitor::connectionLost(TimePoint now)
{
    probedAt_ = now;
    connectionLost_ = true;
}

SilenceMonitor::Decision SilenceMonitor::advance(TimePoint now)
{
    if (now < nextDue()) {
        return Decision::Wait;
    }
    if (probedAt_) {
        return Decision::GiveUp;
    }
    probedAt_ = now;
    return Decision::Probe;
}

SilenceMonitor::Decision SilenceMonitor::probeAnswered(TimePoint now, const AttemptProbed &answer, std::uint64_t received)
{
    if (!probedAt_) {
        return Decision::Wait; // The stream has moved on since the probe was sent.
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
    quietSince_ = now;
    probedAt_.reset();
    return Decision::Wait;
}

SilenceMonitor::Decision SilenceMonitor::resumeOrGiveUp()
{
    resumes_ += 1;
    return resumes_ > maxResumes_ ? Decision::GiveUp : Decision::Resume;
}

TimePoint SilenceMonitor::nextDue() const
{
    return probedAt_ ? *probedAt_ + probeTimeout_ : quietSince_ + silenceLimit_;
}

}
