#pragma once

#include "base/time.h"
#include "gateway/eventsplitter.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Lentillock
{

/// What the caller of a stream has received, over all endpoints that continued it.
class RelayedStream
{
public:
    /// @p lastEventId is the event after which the caller wants the stream to go on, if it has received a part.
    explicit RelayedStream(std::optional<std::uint64_t> lastEventId);

    /// Returns the bytes that the caller gets of @p events. Events that it has received are left out.
    std::string accept(const std::vector<StreamEvent> &events, TimePoint now);

    /// Event after which another endpoint has to continue.
    [[nodiscard]] std::optional<std::uint64_t> lastEventId() const;
    [[nodiscard]] std::size_t eventCount() const;
    [[nodiscard]] std::optional<TimePoint> firstEventAt() const;
    [[nodiscard]] Duration longestPause() const;

private:
    std::optional<std::uint64_t> lastEventId_;
    std::size_t eventCount_ = 0;
    std::optional<TimePoint> firstEventAt_;
    TimePoint lastEventAt_{}; ///< Valid after the first event.
    Duration longestPause_{};
};

}
