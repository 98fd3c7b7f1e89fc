#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Lentillock
{

struct SseEvent {
    std::string id; ///< Empty when the event has none.
    std::string data; ///< Lines of one event joined by line feeds.

    bool operator==(const SseEvent &) const = default;
};

/// Splits a stream of bytes into server-sent events. Accepts any division into pieces and all three line endings.
class SseReader
{
public:
    static constexpr std::size_t DefaultMaxEventBytes = 1024UL * 1024;

    explicit SseReader(std::size_t maxEventBytes = DefaultMaxEventBytes);

    /// Appends the events that @p bytes completes to @p events. Returns false once an event is longer than the limit; later input is then ignored.
    [[nodiscard]] bool feed(std::string_view bytes, std::vector<SseEvent> &events);

    /// Bytes of an event that is not complete.
    [[nodiscard]] std::size_t pendingBytes() const;

private:
    void endLine(std::vector<SseEvent> &events);

    std::size_t maxEventBytes_;
    std::string line_;
    SseEvent event_;
    bool hasData_ = false;
    bool skipLineFeed_ = false; ///< The last byte was a carriage return, which has already ended the line.
    bool failed_ = false;
};

}
