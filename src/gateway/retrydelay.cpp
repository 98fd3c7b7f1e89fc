#include "gateway/retrydelay.h"

#include "base/hash.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace Lentillock
{

namespace
{

constexpr std::size_t MaxLoggedCharacters = 40;

constexpr int SpreadDivisor = 10;
constexpr Duration MaxSpread = 1s;
constexpr std::uint64_t SpreadSteps = 1000;

}

RetryDelay RetryDelay::fromText(std::string_view text)
{
    if (text.empty()) {
        return {};
    }
    double seconds = 0;
    const char *const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
    const bool isTooLarge = result.ec == std::errc::result_out_of_range;
    const bool isValid = result.ptr == end && (result.ec == std::errc() || isTooLarge) && !std::signbit(seconds) && std::isfinite(seconds);
    RetryDelay delay;
    if (!isValid) {
        delay.rejectedText = std::string(text.substr(0, MaxLoggedCharacters));
    } else if (isTooLarge || seconds > std::chrono::duration<double>(MaxRetryDelay).count()) {
        delay.time = MaxRetryDelay;
        delay.rejectedText = std::string(text.substr(0, MaxLoggedCharacters));
    } else if (seconds > 0) {
        delay.time = std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
    }
    return delay;
}

Duration retryDelaySpread(Duration time, std::string_view key)
{
    const Duration limit = std::min<Duration>(time / SpreadDivisor, MaxSpread);
    return limit * static_cast<int>(stableHash(key) % SpreadSteps) / static_cast<int>(SpreadSteps);
}

}
