#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Lentillock
{

struct SseEvent {
    std::string id; ///< Empty when the event has none.
    std::string data; ///< The data lines of the event, joined by line feeds.

    bool operator==(const SseEvent &) const = default;
};

/// Parses a byte stream into server-sent events. Accepts input split at any byte, and all three line endings.
class SseReader
{
public:
    static constexpr std::size_t DefaultMaxEventBytes = 1024UL * 1024;

    explicit SseReader(std::size_t maxEventBytes = DefaultMaxEventBytes);

    /// Appends the events that @p bytes completes to @p events. Returns false once an event exceeds the limit; later input is ignored.
    [[nodiscard]] bool feed(std::string_view bytes, std::vector<SseEvent> &events);

    /// Buffered bytes of the incomplete event.
    [[nodiscard]] std::size_t pendingBytes() const;

private:
    void endLine(std::vector<SseEvent> &events);

    std::size_t maxEventBytes_;
    std::string line_;
    SseEvent event_;
    bool hasData_ = false;
    bool skipLineFeed_ = false; ///< The last byte was a carriage return and has ended the line; a line feed that follows belongs to it.
    bool failed_ = false;
};

}
