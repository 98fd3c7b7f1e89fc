#include "base/hash.h"

#include <openssl/sha.h>
#include <xxhash.h>

#include <algorithm>
#include <array>

namespace Lentillock
{

std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t rendezvousScore(std::string_view key, std::string_view node)
{
    return stableHash(node, stableHash(key));
}

std::vector<std::string> rendezvousOrder(std::string_view key, const std::vector<std::string> &nodes, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, const std::string *>> scored;
    scored.reserve(nodes.size());
    for (const std::string &node : nodes) {
        scored.emplace_back(rendezvousScore(key, node), &node);
    }
    const std::size_t kept = std::min(count, scored.size());
    // Ties are broken by name, so that all VMs compute the same order.
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(kept), scored.end(), [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first : *left.second < *right.second;
    });
    std::vector<std::string> result;
    result.reserve(kept);
    for (std::size_t i = 0; i < kept; ++i) {
        result.push_back(*scored[i].second);
    }
    return result;
}

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * digest.size());
    for (const unsigned char byte : digest) {
        text += digits[byte >> 4U];
        text += digits[byte & 0xFU];
    }
    return text;
}

}
