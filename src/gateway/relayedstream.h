#pragma once

#include "base/time.h"
#include "gateway/eventsplitter.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Lentillock
{

/// Tracks the events that the caller of a stream has received, across all endpoints that served it.
class RelayedStream
{
public:
    /// @p lastEventId is the last event that the caller has received, if it resumes a stream.
    explicit RelayedStream(std::optional<std::uint64_t> lastEventId);

    /// Returns the bytes of @p events to relay to the caller, without events that it has already received.
    std::string accept(const std::vector<StreamEvent> &events, TimePoint now);

    /// Whether one of @p events is an event, and not a comment, that the caller has not received yet.
    [[nodiscard]] bool hasNewEvent(const std::vector<StreamEvent> &events) const;

    /// The last event that the caller has received, after which another endpoint has to resume the stream.
    [[nodiscard]] std::optional<std::uint64_t> lastEventId() const;
    [[nodiscard]] std::size_t eventCount() const;
    [[nodiscard]] std::optional<TimePoint> firstEventAt() const;
    [[nodiscard]] Duration longestPause() const;

private:
    [[nodiscard]] bool isDuplicate(const StreamEvent &event) const;

    std::optional<std::uint64_t> lastEventId_;
    std::size_t eventCount_ = 0;
    std::optional<TimePoint> firstEventAt_;
    TimePoint lastEventAt_{}; ///< Valid after the first event.
    Duration longestPause_{};
};

}
