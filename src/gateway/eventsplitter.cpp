#include "gateway/eventsplitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace Lentillock
{

namespace
{

constexpr std::string_view IdPrefix = "id:";

std::optional<std::uint64_t> eventId(std::string_view event)
{
    std::size_t start = 0;
    while (start < event.size()) {
        std::string_view line = event.substr(start, event.find('\n', start) - start);
        start += line.size() + 1;
        if (!line.starts_with(IdPrefix)) {
            continue;
        }
        line.remove_prefix(IdPrefix.size());
        while (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        std::uint64_t id = 0;
        const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (error == std::errc() && end != line.data()) {
            return id;
        }
    }
    return std::nullopt;
}

/// Whether every line of @p event is blank or a comment.
bool isComment(std::string_view event)
{
    std::size_t start = 0;
    while (start < event.size()) {
        const std::string_view line = event.substr(start, event.find('\n', start) - start);
        start += line.size() + 1;
        if (!line.empty() && line != "\r" && !line.starts_with(':')) {
            return false;
        }
    }
    return true;
}

/// The longest end of an event.
constexpr std::string_view CarriageEnd = "\r\n\r\n";

/// Returns the length of the first event of @p text including the terminating blank line, or 0 if the event is incomplete. The event does not end before
/// @p searched.
std::size_t eventLength(std::string_view text, std::size_t searched)
{
    const std::size_t plain = text.find("\n\n", searched);
    const std::size_t carriage = text.substr(0, plain == std::string_view::npos ? plain : plain + 1).find(CarriageEnd, searched);
    if (plain == std::string_view::npos && carriage == std::string_view::npos) {
        return 0;
    }
    return plain < carriage ? plain + 2 : carriage + 4;
}

}

std::vector<StreamEvent> EventSplitter::feed(std::string_view bytes)
{
    // An event may be long and arrive in many pieces, so only what may hold its end is searched. The end may begin in the piece before.
    std::size_t searched = pending_.size() - std::min(pending_.size(), CarriageEnd.size() - 1);
    pending_.append(bytes);
    std::vector<StreamEvent> events;
    std::size_t used = 0;
    while (const std::size_t length = eventLength(std::string_view(pending_).substr(used), std::exchange(searched, 0))) {
        std::string event = pending_.substr(used, length);
        used += length;
        const std::optional<std::uint64_t> id = eventId(event);
        const bool comment = isComment(event);
        events.push_back({.bytes = std::move(event), .id = id, .isComment = comment});
    }
    pending_.erase(0, used);
    return events;
}

bool EventSplitter::hasPartialEvent() const
{
    return !pending_.empty();
}

std::size_t EventSplitter::heldBytes() const
{
    return pending_.capacity();
}

}
