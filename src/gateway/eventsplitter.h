#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lentillock
{

/// A complete event of a text/event-stream body, byte for byte.
struct StreamEvent {
    std::string bytes; ///< Including the blank line that ends the event.
    std::optional<std::uint64_t> id;
    bool isComment = false; ///< Contains no field, only comment lines. Servers send these to keep a connection open.
};

/// Splits the body of an event stream into complete events. The bytes of an incomplete event are buffered.
class EventSplitter
{
public:
    /// Appends @p bytes and returns the events that are complete now.
    std::vector<StreamEvent> feed(std::string_view bytes);

    /// Whether an incomplete event is buffered.
    [[nodiscard]] bool hasPartialEvent() const;

    /// Memory that the incomplete event takes, in bytes.
    [[nodiscard]] std::size_t heldBytes() const;

private:
    std::string pending_;
};

}
