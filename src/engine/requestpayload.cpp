#include "engine/requestpayload.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace Lentillock
{

namespace
{

bool needsEscape(char character)
{
    return character == '"' || character == '\\' || static_cast<unsigned char>(character) < 0x20;
}

std::string escaped(char character)
{
    constexpr std::string_view digits = "0123456789abcdef";
    switch (character) {
    case '"':
        return "\\\"";
    case '\\':
        return "\\\\";
    case '\n':
        return "\\n";
    case '\r':
        return "\\r";
    case '\t':
        return "\\t";
    default:
        return std::string("\\u00") + digits[static_cast<unsigned char>(character) >> 4U] + digits[static_cast<unsigned char>(character) & 0xFU];
    }
}

std::size_t escapedSize(std::string_view text)
{
    std::size_t size = text.size();
    for (const char character : text) {
        if (needsEscape(character)) {
            size += escaped(character).size() - 1;
        }
    }
    return size;
}

/// Copies the bytes of @p source from position @p done, as many as fit into @p buffer, and advances @p done. Returns the number of bytes copied.
std::size_t copyPart(std::string_view source, std::size_t &done, char *buffer, std::size_t capacity)
{
    const std::size_t length = std::min(source.size() - done, capacity);
    if (length > 0) {
        std::memcpy(buffer, source.data() + done, length);
    }
    done += length;
    return length;
}

}

RequestPayload::RequestPayload(std::string body)
    : head_(std::move(body))
    , size_(head_.size())
{
}

RequestPayload RequestPayload::jsonString(std::string head, SharedText text, std::size_t offset, std::size_t length, std::string tail)
{
    RequestPayload payload(std::move(head) + '"');
    payload.text_ = std::move(text);
    if (payload.text_ != nullptr && offset < payload.text_->size()) {
        payload.section_ = std::string_view(*payload.text_).substr(offset, length);
    }
    payload.tail_ = '"' + std::move(tail);
    payload.escaped_ = true;
    payload.size_ = payload.head_.size() + escapedSize(payload.section_) + payload.tail_.size();
    return payload;
}

RequestPayload RequestPayload::plainText(SharedText text)
{
    RequestPayload payload;
    payload.text_ = std::move(text);
    if (payload.text_ != nullptr) {
        payload.section_ = *payload.text_;
    }
    payload.size_ = payload.section_.size();
    return payload;
}

std::size_t RequestPayload::size() const
{
    return size_;
}

std::size_t RequestPayload::read(char *buffer, std::size_t capacity)
{
    std::size_t written = copyPart(head_, headRead_, buffer, capacity);
    while (written < capacity && (!pendingEscape_.empty() || sectionRead_ < section_.size())) {
        if (!pendingEscape_.empty()) {
            std::size_t done = 0;
            written += copyPart(pendingEscape_, done, buffer + written, capacity - written);
            pendingEscape_.erase(0, done);
            continue;
        }
        const std::string_view window = section_.substr(sectionRead_, capacity - written);
        const auto special = escaped_ ? std::find_if(window.begin(), window.end(), needsEscape) : window.end();
        const auto plain = static_cast<std::size_t>(special - window.begin());
        std::memcpy(buffer + written, window.data(), plain);
        written += plain;
        sectionRead_ += plain;
        if (special != window.end()) {
            pendingEscape_ = escaped(*special);
            ++sectionRead_;
        }
    }
    if (pendingEscape_.empty() && sectionRead_ == section_.size()) {
        written += copyPart(tail_, tailRead_, buffer + written, capacity - written);
    }
    return written;
}

void RequestPayload::rewind()
{
    headRead_ = 0;
    sectionRead_ = 0;
    tailRead_ = 0;
    pendingEscape_.clear();
}

}
