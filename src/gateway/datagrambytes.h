#pragma once

#include <cstring>
#include <string>
#include <string_view>

namespace Lentillock::detail
{

/// Appends the bytes of @p value, a fixed-size structure of endian buffers, to a datagram.
template<typename Value>
void appendBytes(std::string &bytes, const Value &value)
{
    bytes.append(reinterpret_cast<const char *>(&value), sizeof(value));
}

/// Moves the first bytes of a datagram to @p value. Returns false if there are too few.
template<typename Value>
bool takeBytes(std::string_view &bytes, Value &value)
{
    if (bytes.size() < sizeof(value)) {
        return false;
    }
    std::memcpy(&value, bytes.data(), sizeof(value));
    bytes.remove_prefix(sizeof(value));
    return true;
}

}
