#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Lentillock
{

/// 64-bit hash that is the same on all VMs and in all versions of the program.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

/// Score of @p node for @p key in rendezvous hashing: the node with the highest score owns the key.
std::uint64_t rendezvousScore(std::string_view key, std::string_view node);

/// Up to @p count nodes with the highest scores for @p key, in descending order of score.
std::vector<std::string> rendezvousOrder(std::string_view key, const std::vector<std::string> &nodes, std::size_t count);

/// SHA-256 of @p bytes as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view bytes);

}
