#include "gateway/relayedstream.h"

#include <algorithm>

namespace Lentillock
{

RelayedStream::RelayedStream(std::optional<std::uint64_t> lastEventId)
    : lastEventId_(lastEventId)
{
}

std::string RelayedStream::accept(const std::vector<StreamEvent> &events, TimePoint now)
{
    std::string bytes;
    const std::size_t countBefore = eventCount_;
    for (const StreamEvent &event : events) {
        if (isDuplicate(event)) {
            continue;
        }
        bytes += event.bytes;
        lastEventId_ = event.id ? event.id : lastEventId_;
        eventCount_ += event.isComment ? 0 : 1;
    }
    if (eventCount_ == countBefore) {
        return bytes;
    }
    if (firstEventAt_) {
        longestPause_ = std::max(longestPause_, now - lastEventAt_);
    } else {
        firstEventAt_ = now;
    }
    lastEventAt_ = now;
    return bytes;
}

bool RelayedStream::hasNewEvent(const std::vector<StreamEvent> &events) const
{
    return std::any_of(events.begin(), events.end(), [this](const StreamEvent &event) { return !event.isComment && !isDuplicate(event); });
}

bool RelayedStream::isDuplicate(const StreamEvent &event) const
{
    return event.id && lastEventId_ && *event.id <= *lastEventId_;
}

std::optional<std::uint64_t> RelayedStream::lastEventId() const
{
    return lastEventId_;
}

std::size_t RelayedStream::eventCount() const
{
    return eventCount_;
}

std::optional<TimePoint> RelayedStream::firstEventAt() const
{
    return firstEventAt_;
}

Duration RelayedStream::longestPause() const
{
    return longestPause_;
}

}
