#pragma once

#include "dispatch/messages.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace Lentillock
{

/// Body of a request to an endpoint: a head, a section of a shared text and a tail. The text is escaped for JSON while it is read, never copied as a whole.
class RequestPayload
{
public:
    /// A body without shared text.
    explicit RequestPayload(std::string body = {});

    /// @p text from byte @p offset, @p length bytes, as a JSON string between @p head and @p tail.
    static RequestPayload jsonString(std::string head, SharedText text, std::size_t offset, std::size_t length, std::string tail);

    /// @p text as it is.
    static RequestPayload plainText(SharedText text);

    /// Bytes of the whole body.
    [[nodiscard]] std::size_t size() const;

    /// Copies the next bytes, at most @p capacity, to @p buffer; returns 0 at the end.
    std::size_t read(char *buffer, std::size_t capacity);

    /// Starts from the first byte again.
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
    std::string carry_; ///< Rest of an escape sequence that did not fit into the last buffer.
};

}
