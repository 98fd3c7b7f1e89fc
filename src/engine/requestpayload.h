#pragma once

#include "dispatch/messages.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace Lentillock
{

/// Body of a request to an endpoint: a head, a section of a shared text and a tail. The text is escaped for JSON while it is read, so that it is never
/// copied as a whole.
class RequestPayload
{
public:
    /// A body that consists of @p body only.
    explicit RequestPayload(std::string body = {});

    /// A body with @p length bytes of @p text from byte @p offset as a JSON string between @p head and @p tail.
    static RequestPayload jsonString(std::string head, SharedText text, std::size_t offset, std::size_t length, std::string tail);

    /// A body that consists of @p text without escaping.
    static RequestPayload plainText(SharedText text);

    /// Length of the whole body in bytes, after escaping.
    [[nodiscard]] std::size_t size() const;

    /// Copies the next bytes, at most @p capacity, to @p buffer; returns 0 at the end.
    std::size_t read(char *buffer, std::size_t capacity);

    /// Makes read() start from the first byte again.
    void rewind();

private:
    std::string head_;
    SharedText text_;
    std::string_view section_;
    std::string tail_;
    bool escaped_ = false;
    std::size_t size_ = 0;
    std::size_t headRead_ = 0;
    std::size_t sectionRead_ = 0;
    std::size_t tailRead_ = 0;
    std::string pendingEscape_; ///< Rest of an escape sequence that did not fit into the last buffer.
};

}
