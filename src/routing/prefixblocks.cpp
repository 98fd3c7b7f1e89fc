#include "routing/prefixblocks.h"

#include "base/hash.h"

namespace Lentillock
{

std::uint64_t estimatedTokens(std::string_view text)
{
    return (text.size() + BytesPerToken - 1) / BytesPerToken;
}

std::vector<std::uint64_t> prefixBlockHashes(std::string_view prompt, std::string_view salt)
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(prompt.size() / PrefixBlockBytes);
    std::uint64_t chained = stableHash(salt);
    for (std::size_t begin = 0; begin + PrefixBlockBytes <= prompt.size(); begin += PrefixBlockBytes) {
        chained = stableHash(prompt.substr(begin, PrefixBlockBytes), chained);
        hashes.push_back(chained);
    }
    return hashes;
}

}
