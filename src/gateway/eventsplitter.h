#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lentillock
{

/// A whole event of a text/event-stream body, byte for byte.
struct StreamEvent {
    std::string bytes; ///< Including the blank line that ends the event.
    std::optional<std::uint64_t> id;
};

/// Cuts the body of an event stream into whole events. The bytes of an event that is not complete are kept back.
class EventSplitter
{
public:
    /// Returns the events that @p bytes complete.
    std::vector<StreamEvent> feed(std::string_view bytes);

    /// Whether a part of an event is waiting for the rest.
    [[nodiscard]] bool hasPartialEvent() const;

private:
    std::string pending_;
};

}
