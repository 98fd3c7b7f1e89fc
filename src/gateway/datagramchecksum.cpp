#include "gateway/datagramchecksum.h"

#include "base/hash.h"

#include <boost/endian/buffers.hpp>

#include <cstring>

namespace Lentillock
{

namespace
{

using Checksum = boost::endian::little_uint32_buf_t;

Checksum checksumOf(std::string_view bytes)
{
    return Checksum(static_cast<std::uint32_t>(stableHash(bytes)));
}

}

void appendChecksum(std::string &bytes)
{
    const Checksum checksum = checksumOf(bytes);
    bytes.append(reinterpret_cast<const char *>(&checksum), sizeof(checksum));
}

std::optional<std::string_view> verifyChecksum(std::string_view bytes)
{
    Checksum expected{};
    if (bytes.size() < sizeof(expected)) {
        return std::nullopt;
    }
    std::memcpy(&expected, bytes.data() + bytes.size() - sizeof(expected), sizeof(expected));
    bytes.remove_suffix(sizeof(expected));
    return checksumOf(bytes).value() == expected.value() ? std::optional(bytes) : std::nullopt;
}

}
